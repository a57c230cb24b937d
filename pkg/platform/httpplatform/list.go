package httpplatform

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"sync"

	"github.com/rotisserie/eris"

	"balsamhill/pkg/platform"
)

// listCache holds the last VM list and its entity tag. The list has about 150
// bytes per entry and is read every second, so it is transferred only after a
// change.
type listCache struct {
	mu   sync.Mutex
	etag string
	vms  []platform.VM
}

func (l *listCache) load() (tag string, vms []platform.VM) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.etag, l.vms
}

func (l *listCache) store(tag string, vms []platform.VM) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.etag, l.vms = tag, vms
}

// ListVMs implements platform.VMList. It sends a conditional request with the
// entity tag of the last read (RFC 9110, If-None-Match).
func (c *Client) ListVMs(ctx context.Context) ([]platform.VM, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, c.baseURL+"/vms", nil)
	if err != nil {
		return nil, eris.Wrap(err, "build list request")
	}
	tag, cached := c.list.load()
	if tag != "" {
		request.Header.Set("If-None-Match", tag)
	}
	response, err := c.http.Do(request)
	if err != nil {
		return nil, unavailable(err)
	}
	defer response.Body.Close()
	switch {
	case response.StatusCode == http.StatusNotModified && tag != "":
		return slices.Clone(cached), nil
	case response.StatusCode != http.StatusOK:
		// Draining the body allows the connection to be reused.
		_, _ = io.Copy(io.Discard, io.LimitReader(response.Body, 4096))
		return nil, statusError(response.StatusCode)
	}
	var list platform.VMListResponse
	err = json.NewDecoder(io.LimitReader(response.Body, maxResponseBytes)).Decode(&list)
	if err != nil {
		return nil, unavailable(err)
	}
	c.list.store(response.Header.Get("ETag"), list.VMs)
	return slices.Clone(list.VMs), nil
}
