package processtest

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"syscall"
	"testing"

	"gotest.tools/v3/assert"
)

// slowUpload is a PUT whose body the test sends in chunks.
type slowUpload struct {
	body *io.PipeWriter
	done chan uploadResult
}

type uploadResult struct {
	status int
	body   []byte
	err    error
}

func startUpload(t *testing.T, url string) *slowUpload {
	t.Helper()
	reader, writer := io.Pipe()
	u := &slowUpload{body: writer, done: make(chan uploadResult, 1)}
	request, err := http.NewRequest(http.MethodPut, url, reader)
	assert.NilError(t, err)
	go func() {
		response, err := http.DefaultClient.Do(request)
		if err != nil {
			u.done <- uploadResult{err: err}
			return
		}
		defer response.Body.Close()
		body, err := io.ReadAll(response.Body)
		u.done <- uploadResult{status: response.StatusCode, body: body, err: err}
	}()
	return u
}

func (u *slowUpload) send(t *testing.T, size int) {
	t.Helper()
	_, err := u.body.Write(make([]byte, size))
	assert.NilError(t, err)
}

// finish ends the body and checks that the server received all of it.
func (u *slowUpload) finish(t *testing.T, wantBytes int64) {
	t.Helper()
	assert.NilError(t, u.body.Close())
	result := <-u.done
	assert.NilError(t, result.err)
	assert.Equal(t, result.status, http.StatusOK, string(result.body))
	var decoded struct {
		BodyBytes int64 `json:"bodyBytes"`
	}
	assert.NilError(t, json.Unmarshal(result.body, &decoded))
	assert.Equal(t, decoded.BodyBytes, wantBytes)
}

// reportedInFlight returns the number of requests in flight that a stand-in server
// reports.
func (p *process) reportedInFlight(t *testing.T) int {
	t.Helper()
	response, err := http.Get("http://" + p.address(t) + "/standin/load")
	assert.NilError(t, err)
	defer response.Body.Close()
	var inFlight int
	_, err = fmt.Sscanf(response.Header.Get("Endpoint-Load-Metrics"), "TEXT named_metrics.in_flight=%d", &inFlight)
	assert.NilError(t, err)
	return inFlight
}

const chunkBytes = 100_000

// Guards against a planned stop of a gateway that aborts an upload in flight.
func TestGatewayStopLetsUploadFinish(t *testing.T) {
	f := startFleet(t)
	f.startServer("practice-vault", "khomas")
	g := f.startGateway("gw-1", "khomas")
	f.waitForService(g, "practice-vault")

	upload := startUpload(t, g.traffic+"/practice-vault/session")
	upload.send(t, chunkBytes)
	eventually(t, "upload in flight", func() bool { return g.inFlight() == 1 })
	assert.NilError(t, g.command.Process.Signal(syscall.SIGTERM))
	eventually(t, "gateway not ready", func() bool {
		status, _ := get(g.admin + "/readyz")
		return status == http.StatusServiceUnavailable
	})
	upload.send(t, chunkBytes)
	eventually(t, "listener closed", func() bool {
		status, _ := get(g.traffic + "/practice-vault/x")
		return status == 0
	})
	upload.send(t, chunkBytes)
	upload.finish(t, 3*chunkBytes)
	assert.NilError(t, g.command.Wait())
}

// Guards against a planned stop of a server that aborts an upload in flight.
func TestServerStopLetsUploadFinish(t *testing.T) {
	f := startFleet(t)
	server := f.startServer("practice-vault", "khomas")
	g := f.startGateway("gw-1", "khomas")
	f.waitForService(g, "practice-vault")

	upload := startUpload(t, g.traffic+"/practice-vault/session")
	upload.send(t, chunkBytes)
	eventually(t, "upload at the server", func() bool { return server.reportedInFlight(t) == 1 })
	assert.NilError(t, server.command.Process.Signal(syscall.SIGTERM))
	upload.send(t, chunkBytes)
	upload.finish(t, 2*chunkBytes)
	assert.NilError(t, server.command.Wait())
}
