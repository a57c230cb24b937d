package platform

import "github.com/rotisserie/eris"

var (
	// ErrUnavailable is returned when the platform did not answer in time, could
	// not be reached or reported an outage.
	ErrUnavailable = eris.New("platform unavailable")
	// ErrNotFound is returned when an object does not exist.
	ErrNotFound = eris.New("not found")
	// ErrProtocol is returned when the platform's answer cannot be understood.
	ErrProtocol = eris.New("unexpected answer from platform")
)
