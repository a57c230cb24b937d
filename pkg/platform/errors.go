package platform

import "github.com/rotisserie/eris"

var (
	// ErrUnavailable is returned when the platform did not respond in time, could
	// not be reached or reported an outage.
	ErrUnavailable = eris.New("platform unavailable")
	// ErrNotFound is returned when an object does not exist.
	ErrNotFound = eris.New("not found")
	// ErrProtocol is returned when the platform's response is not valid.
	ErrProtocol = eris.New("unexpected response from platform")
)
