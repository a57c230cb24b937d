package platformtest

import (
	"bytes"
	"context"
	"slices"
	"sync"

	"github.com/rotisserie/eris"

	"balsamhill/pkg/platform"
)

// Platform implements platform.Platform with a Table, an object store and a VM list
// whose contents the test sets.
type Platform struct {
	*Table

	mu       sync.Mutex
	objects  map[string][]byte
	vms      []platform.VM
	listDown bool
}

var _ platform.Platform = (*Platform)(nil)

// NewPlatform returns an empty platform without faults.
func NewPlatform() *Platform {
	return &Platform{Table: New(), objects: make(map[string][]byte)}
}

// SetVMs replaces the VM list. A test simulates a lagging list by calling it late.
func (p *Platform) SetVMs(vms ...platform.VM) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.vms = slices.Clone(vms)
}

// SetListDown starts or ends an outage of the VM list. SetDown does the same for the
// table service and the object store.
func (p *Platform) SetListDown(down bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.listDown = down
}

// ListVMs implements platform.VMList.
func (p *Platform) ListVMs(ctx context.Context) ([]platform.VM, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.listDown || ctx.Err() != nil {
		return nil, eris.Wrap(platform.ErrUnavailable, "outage of the VM list")
	}
	return slices.Clone(p.vms), nil
}

// PutObject implements platform.Objects.
func (p *Platform) PutObject(ctx context.Context, name string, data []byte) error {
	if p.isDown() || ctx.Err() != nil {
		return eris.Wrap(platform.ErrUnavailable, "outage")
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.objects[name] = bytes.Clone(data)
	return nil
}

// GetObject implements platform.Objects.
func (p *Platform) GetObject(ctx context.Context, name string) ([]byte, error) {
	if p.isDown() || ctx.Err() != nil {
		return nil, eris.Wrap(platform.ErrUnavailable, "outage")
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	data, ok := p.objects[name]
	if !ok {
		return nil, eris.Wrapf(platform.ErrNotFound, "object %q", name)
	}
	return bytes.Clone(data), nil
}

func (t *Table) isDown() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.down
}
