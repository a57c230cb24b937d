// Package processtest tests the system as separate processes: gateways, the platform
// stand-in, stand-in servers and the operator tool. All traffic goes to loopback
// addresses.
package processtest

import (
	"bufio"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"balsamhill/examples"

	// The programs are built while the test runs, and the test cache does not detect
	// that. These imports invalidate a cached result when the programs change.
	_ "balsamhill/pkg/demo"
	_ "balsamhill/pkg/operator"
)

// binaries is the directory of the programs that TestMain builds.
var binaries string

func TestMain(m *testing.M) {
	os.Exit(runTests(m))
}

func runTests(m *testing.M) int {
	dir, err := os.MkdirTemp("", "balsamhill")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(dir)
	binaries = dir
	output, err := exec.Command("go", "build", "-o", dir, "balsamhill/cmd/...").CombinedOutput()
	if err != nil {
		fmt.Fprintf(os.Stderr, "%s: %v\n", output, err)
		return 1
	}
	return m.Run()
}

// eventTimeout bounds the wait for events that should occur immediately. It is long
// because it affects only how soon a test of a broken system fails.
const eventTimeout = 30 * time.Second

// process is one running program.
type process struct {
	command *exec.Cmd
	// firstLine is the first line on standard output.
	firstLine string
}

// start starts a program and waits for its first line, which contains its addresses.
func start(t *testing.T, name string, args ...string) *process {
	t.Helper()
	command := exec.Command(filepath.Join(binaries, name), args...)
	command.Stderr = &testWriter{t: t, prefix: name}
	stdout, err := command.StdoutPipe()
	assert.NilError(t, err)
	assert.NilError(t, command.Start())
	p := &process{command: command}
	t.Cleanup(func() {
		_ = command.Process.Kill()
		_ = command.Wait()
	})
	p.firstLine, err = bufio.NewReader(stdout).ReadString('\n')
	assert.NilError(t, err, name)
	return p
}

// testWriter writes the standard error of a program to the log of the test.
type testWriter struct {
	t      *testing.T
	prefix string
}

func (w *testWriter) Write(data []byte) (int, error) {
	// t.Log panics after the end of the test.
	if w.t.Context().Err() == nil {
		w.t.Logf("%s: %s", w.prefix, strings.TrimSpace(string(data)))
	}
	return len(data), nil
}

func (p *process) address(t *testing.T) string {
	t.Helper()
	var line struct {
		Address string `json:"address"`
	}
	assert.NilError(t, json.Unmarshal([]byte(p.firstLine), &line))
	return line.Address
}

// run runs a program until it exits and returns its output and exit code.
func run(t *testing.T, name string, args ...string) (string, int) {
	t.Helper()
	command := exec.Command(filepath.Join(binaries, name), args...)
	output, err := command.CombinedOutput()
	if command.ProcessState == nil {
		t.Fatal(err)
	}
	return string(output), command.ProcessState.ExitCode()
}

// eventually polls a condition until it holds and fails the test after eventTimeout.
func eventually(t *testing.T, event string, condition func() bool) {
	t.Helper()
	limit := time.Now().Add(eventTimeout)
	for !condition() {
		if time.Now().After(limit) {
			t.Fatalf("timed out waiting for: %s", event)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// fleet is a platform stand-in that stores the example presets, and the processes
// that use it.
type fleet struct {
	t        *testing.T
	platform *process
	url      string
	// noticeMillis is shutdown.noticeMillis of gateways; 0 means 100.
	noticeMillis int
}

func startFleet(t *testing.T) *fleet {
	t.Helper()
	p := start(t, "standin", "platform")
	f := &fleet{t: t, platform: p, url: "http://" + p.address(t)}
	for _, document := range examples.Presets() {
		path := filepath.Join(t.TempDir(), document.Name+".jsonc")
		assert.NilError(t, os.WriteFile(path, document.Text, 0o600))
		f.tool(0, "preset", "apply", "-f", path)
	}
	f.tool(0, "preset", "use", "ordinary")
	return f
}

// tool runs the operator tool and checks its exit code.
func (f *fleet) tool(wantExit int, args ...string) string {
	f.t.Helper()
	output, exit := run(f.t, "balsamhill", append([]string{"-platform", f.url}, args...)...)
	assert.Equal(f.t, exit, wantExit, output)
	return output
}

func (f *fleet) startServer(service, region string, args ...string) *process {
	f.t.Helper()
	all := append([]string{"server", "-service", service, "-region", region, "-platform", f.url}, args...)
	return start(f.t, "standin", all...)
}

// gatewayProcess is a running gateway.
type gatewayProcess struct {
	*process
	traffic, admin string
}

// startGateway starts a gateway with the Signline example settings on free ports and
// waits until it is ready.
func (f *fleet) startGateway(id, region string) *gatewayProcess {
	f.t.Helper()
	text := string(examples.SignlineSettings())
	replace := func(from, to string) {
		assert.Assert(f.t, strings.Contains(text, from), from)
		text = strings.Replace(text, from, to, 1)
	}
	for _, port := range []string{"8080", "8081", "8082"} {
		replace("127.0.0.1:"+port, "127.0.0.1:0")
	}
	replace("http://127.0.0.1:9000", f.url)
	replace(`"gw-khomas-1"`, `"`+id+`"`)
	replace(`"region": "khomas"`, `"region": "`+region+`"`)
	replace(`"noticeMillis": 10000`, fmt.Sprintf(`"noticeMillis": %d`, cmp.Or(f.noticeMillis, 100)))
	path := filepath.Join(f.t.TempDir(), id+".jsonc")
	assert.NilError(f.t, os.WriteFile(path, []byte(text), 0o600))
	p := start(f.t, "balsamhilld", "serve", "-config", path)
	var addresses struct {
		Gateway string `json:"gateway"`
		Admin   string `json:"admin"`
	}
	assert.NilError(f.t, json.Unmarshal([]byte(p.firstLine), &addresses))
	g := &gatewayProcess{process: p, traffic: addresses.Gateway, admin: addresses.Admin}
	eventually(f.t, id+" ready", func() bool {
		status, _ := get(g.admin + "/readyz")
		return status == http.StatusOK
	})
	return g
}

// get returns the status and the body. Status 0 means that there was no complete
// response.
func get(url string) (int, string) {
	response, err := http.Get(url)
	if err != nil {
		return 0, ""
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, ""
	}
	return response.StatusCode, string(body)
}

// waitForService waits until a gateway serves a service.
func (f *fleet) waitForService(g *gatewayProcess, service string) {
	f.t.Helper()
	eventually(f.t, service+" served", func() bool {
		status, _ := get(g.traffic + "/" + service + "/ready")
		return status == http.StatusOK
	})
}

// faults replaces the active faults of the platform stand-in.
func (f *fleet) faults(document string) {
	f.t.Helper()
	request, err := http.NewRequest(http.MethodPut, f.url+"/standin/faults", strings.NewReader(document))
	assert.NilError(f.t, err)
	response, err := http.DefaultClient.Do(request)
	assert.NilError(f.t, err)
	defer response.Body.Close()
	assert.Equal(f.t, response.StatusCode, http.StatusNoContent)
}

// inFlight returns the number of requests in flight on the gateway, -1 if it does not
// respond.
func (g *gatewayProcess) inFlight() int64 {
	_, body := get(g.admin + "/status")
	var status struct {
		InFlight int64 `json:"inFlight"`
	}
	if json.Unmarshal([]byte(body), &status) != nil {
		return -1
	}
	return status.InFlight
}
