package serverconn_test

import (
	"context"
	"net"
	"testing"

	"gotest.tools/v3/assert"

	"balsamhill/pkg/serverconn"
)

// TestDialIsLimited guards against connections to servers beyond the limit, and against closed ones
// that still count.
func TestDialIsLimited(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer listener.Close()
	address := listener.Addr().String()
	limited := serverconn.LimitDial((&net.Dialer{}).DialContext, 2)
	first, err := limited(context.Background(), "tcp", address)
	assert.NilError(t, err)
	second, err := limited(context.Background(), "tcp", address)
	assert.NilError(t, err)
	_, err = limited(context.Background(), "tcp", address)
	assert.ErrorIs(t, err, serverconn.ErrTooManyConnections)
	assert.NilError(t, first.Close())
	_ = first.Close()
	third, err := limited(context.Background(), "tcp", address)
	assert.NilError(t, err)
	assert.NilError(t, second.Close())
	assert.NilError(t, third.Close())
	_, err = limited(context.Background(), "tcp", "127.0.0.1:1")
	assert.Assert(t, err != nil)
}
