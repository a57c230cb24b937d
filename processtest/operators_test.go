package processtest

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"testing"

	"gotest.tools/v3/assert"
)

type auditEntry struct {
	Action   string `json:"action"`
	Preset   string `json:"preset"`
	Revision uint64 `json:"revision"`
	To       string `json:"to"`
	Why      string `json:"why"`
}

func (f *fleet) audit() []auditEntry {
	f.t.Helper()
	var entries []auditEntry
	assert.NilError(f.t, json.Unmarshal([]byte(f.tool(0, "audit", "-json")), &entries))
	return entries
}

// Guards against lost or duplicate changes when operators work concurrently: the audit
// trail has one entry for each accepted change and none for refused ones, revisions
// increase by one, and the last accepted change is in force.
func TestConcurrentOperators(t *testing.T) {
	f := startFleet(t)
	before := len(f.audit())
	const operators = 8
	exits := make([]int, operators)
	var group sync.WaitGroup
	for i := range operators {
		name := []string{"ordinary", "peak", "maintenance"}[i%3]
		group.Go(func() {
			_, exits[i] = run(t, "balsamhill", "-platform", f.url, "preset", "use", name, "-why", fmt.Sprint("operator-", i))
		})
	}
	group.Wait()
	entries := f.audit()
	accepted := make(map[string]int)
	for i, entry := range entries[before:] {
		accepted[entry.Why]++
		assert.Equal(t, entry.Revision, uint64(before+i+1))
	}
	for i, exit := range exits {
		want := 0
		if exit == 0 {
			want = 1
		}
		assert.Equal(t, accepted[fmt.Sprint("operator-", i)], want, "operator %d, exit %d", i, exit)
	}
	var current struct {
		Name     string `json:"name"`
		Revision uint64 `json:"revision"`
	}
	assert.NilError(t, json.Unmarshal([]byte(f.tool(0, "preset", "current", "-json")), &current))
	last := entries[len(entries)-1]
	assert.Equal(t, current.Name, last.To)
	assert.Equal(t, current.Revision, last.Revision)
}

// Guards against a change that is applied twice because the response to its commit
// was lost: the tool must read the change back.
func TestLostStoreResponse(t *testing.T) {
	f := startFleet(t)
	before := len(f.audit())
	f.faults(`{"loseCommitAnswers":1}`)
	f.tool(0, "preset", "use", "peak")
	assert.Equal(t, len(f.audit()), before+1)
}

// Guards against an invalid preset that is stored in part.
func TestInvalidPresetIsRefused(t *testing.T) {
	f := startFleet(t)
	before := len(f.audit())
	path := filepath.Join(t.TempDir(), "bad.jsonc")
	assert.NilError(t, os.WriteFile(path, []byte(`{"name":"bad","kind":"holiday"}`), 0o600))
	f.tool(1, "preset", "apply", "-f", path)
	f.tool(1, "preset", "show", "bad")
	assert.Equal(t, len(f.audit()), before)
}
