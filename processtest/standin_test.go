package processtest

import (
	"io"
	"net/http"
	"strings"
	"syscall"
	"testing"

	"gotest.tools/v3/assert"

	"balsamhill/pkg/platform"
	"balsamhill/pkg/platform/httpplatform"
)

// listState returns the state in the VM list of the only server of a service, "" if
// it is not listed.
func listState(t *testing.T, client *httpplatform.Client, service string) platform.VMState {
	t.Helper()
	vms, err := client.ListVMs(t.Context())
	assert.NilError(t, err)
	for _, vm := range vms {
		if vm.Service == service {
			return vm.State
		}
	}
	return ""
}

// Guards against a planned stop of a stand-in server that aborts a request in flight
// or is not announced: tests of drains rely on both.
func TestStandinServerDrains(t *testing.T) {
	p := start(t, "standin", "platform")
	url := "http://" + p.address(t)
	client := httpplatform.New(url)
	defer client.Close()
	server := start(t, "standin", "server", "-service", "vault", "-region", "khomas", "-platform", url,
		"-drain-notice", "1ms")
	address := "http://" + server.address(t)
	assert.Equal(t, listState(t, client, "vault"), platform.VMLive)
	// The upload ends when the test closes its body.
	body, upload := io.Pipe()
	done := make(chan *http.Response, 1)
	go func() {
		response, err := http.Post(address+"/upload", "", body)
		if err == nil {
			response.Body.Close()
		}
		done <- response
	}()
	eventually(t, "request in flight", func() bool {
		response, err := http.Get(address + "/standin/load")
		assert.NilError(t, err)
		defer response.Body.Close()
		return strings.Contains(response.Header.Get("Endpoint-Load-Metrics"), "in_flight=1")
	})
	assert.NilError(t, server.command.Process.Signal(syscall.SIGTERM))
	eventually(t, "leaving in the list", func() bool { return listState(t, client, "vault") == platform.VMLeaving })
	assert.NilError(t, upload.Close())
	response := <-done
	assert.Assert(t, response != nil, "the request in flight was cut")
	assert.Equal(t, response.StatusCode, http.StatusOK)
	assert.Equal(t, response.Header.Get("Balsamhill-Draining"), "1")
	assert.NilError(t, server.command.Wait())
	assert.Equal(t, listState(t, client, "vault"), platform.VMState(""))
}

// Guards against a crash request that does not terminate the process or whose run is
// not counted.
func TestStandinServerCrashes(t *testing.T) {
	p := start(t, "standin", "platform")
	url := "http://" + p.address(t)
	server := start(t, "standin", "server", "-service", "desk", "-region", "khomas", "-platform", url)
	request, err := http.NewRequest(http.MethodPost, "http://"+server.address(t)+"/book", nil)
	assert.NilError(t, err)
	request.Header.Set("X-Standin-Crash", "1")
	request.Header["idempotency-key"] = []string{"k"}
	_, err = http.DefaultClient.Do(request)
	assert.Assert(t, err != nil)
	assert.Error(t, server.command.Wait(), "exit status 3")
	_, body := get(url + "/standin/runs?key=k")
	assert.Equal(t, strings.TrimSpace(body), `{"runs":1}`)
}
