package edge

import (
	"net/http"
	"net/http/httptest"
	"os"
	"regexp"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestMetricsArePublished guards against metrics that docs/METRICS.md does not describe,
// and against missing gauges for the roles and budgets of a gateway.
func TestMetricsArePublished(t *testing.T) {
	store := storeWith("a")
	e := startEdge(t, "only", store)
	eventually(t, "the gateway has the server", 5*time.Second, func() bool { return e.hasServer("a") })
	eventually(t, "the gateway is the relay", 5*time.Second, e.isRelay.Load)
	w := httptest.NewRecorder()
	e.metricsHandler().ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/metrics", nil))
	published := w.Body.String()

	page, err := os.ReadFile("../../docs/METRICS.md")
	assert.NilError(t, err)
	for _, name := range regexp.MustCompile(`(?m)^balsamhill_[a-z_]+`).FindAllString(published, -1) {
		for _, suffix := range []string{"_bucket", "_count", "_sum"} {
			name = strings.TrimSuffix(name, suffix)
		}
		assert.Check(t, strings.Contains(string(page), "`"+name+"`"), "%s is not on the page", name)
	}
	for _, line := range []string{
		"balsamhill_reader 1", "balsamhill_relay 1", "balsamhill_gateways_alive 0", "balsamhill_config_revision 1",
		`balsamhill_calls_waiting{service="s"} 0`, `balsamhill_retries_left{service="s"} 2`,
		`balsamhill_crowded_factor{service="s"} 1.4`,
	} {
		assert.Check(t, strings.Contains(published, line+"\n"), "%s is missing in\n%s", line, published)
	}
}
