// Package transfer receives responses of unknown size. It limits the time without
// progress in place of the time for the whole response, so that a large response over a
// slow link is not cut off while a connection that went silent is.
package transfer

import (
	"context"
	"io"
	"time"

	"github.com/rotisserie/eris"
)

const (
	// minWindowBytes is the minimum number of bytes in each window of a transfer.
	minWindowBytes = 8 << 10
	readBytes      = 32 << 10
)

// ErrStalled means that a response did not begin in time or made too little progress.
var ErrStalled = eris.New("transfer stalled")

// ErrTooLarge means that a response has more bytes than allowed.
var ErrTooLarge = eris.New("response too large")

// Watchdog cancels the context of one request while its response makes no progress.
type Watchdog struct {
	ctx    context.Context
	cancel context.CancelCauseFunc
	timer  *time.Timer
}

// Watch returns the context for a request. It is canceled with the cause ErrStalled unless
// ReadAll is called within limit, and when Stop is called.
func Watch(parent context.Context, limit time.Duration) (context.Context, *Watchdog) {
	ctx, cancel := context.WithCancelCause(parent)
	w := &Watchdog{ctx: ctx, cancel: cancel}
	w.timer = time.AfterFunc(limit, func() { cancel(ErrStalled) })
	return ctx, w
}

// Stop releases the resources of the request.
func (w *Watchdog) Stop() {
	w.timer.Stop()
	w.cancel(nil)
}

// Err returns the error of the request: ErrStalled if the watchdog canceled it, else err.
func (w *Watchdog) Err(err error) error {
	if err != nil && eris.Is(context.Cause(w.ctx), ErrStalled) {
		return ErrStalled
	}
	return err
}

// ReadAll appends a response body to received and returns the result, also with an error.
// Each window must bring at least minWindowBytes or the end of the body. The result never
// exceeds maxBytes.
func (w *Watchdog) ReadAll(body io.Reader, received []byte, window time.Duration, maxBytes int) ([]byte, error) {
	w.timer.Reset(window)
	inWindow := 0
	buffer := make([]byte, readBytes)
	for {
		n, err := body.Read(buffer)
		if len(received)+n > maxBytes {
			return received, ErrTooLarge
		}
		received = append(received, buffer[:n]...)
		inWindow += n
		if inWindow >= minWindowBytes {
			inWindow = 0
			w.timer.Reset(window)
		}
		if err == io.EOF {
			w.timer.Stop()
			return received, nil
		}
		if err != nil {
			return received, w.Err(err)
		}
	}
}
