package peer

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/yamux"
	"github.com/rotisserie/eris"

	"balsamhill/pkg/peer/peerpb"
)

const (
	// streamsPerSide is one stream for urgent frames and one for bulk frames, so that
	// a document or summary does not delay a heartbeat or a key query.
	streamsPerSide = 2
	// maxQueuedFrames bounds each queue of frames for a peer that reads slowly.
	maxQueuedFrames = 256
	// writeTimeout bounds one write to the connection.
	writeTimeout = 3 * time.Second
	// firstHeartbeatTimeout bounds the time from the connection to the first heartbeat.
	firstHeartbeatTimeout = 1500 * time.Millisecond
)

// session is one connection to a peer. The fields up to closed do not change after the
// first heartbeat.
type session struct {
	conn    *countedConn
	mux     *yamux.Session
	dialled bool
	address string

	id          string
	incarnation uint64
	region      string
	openedAt    int64

	urgent, bulk chan []byte
	// registered is closed once the fields above are set.
	registered chan struct{}
	closed     chan struct{}
	closeOnce  sync.Once

	// lastHeartbeatAt is the time of the last heartbeat.
	lastHeartbeatAt atomic.Int64
	// revision is the highest revision that the peer reported.
	revision atomic.Uint64

	// The fields below are protected by the exchange's lock.

	// heartbeats is the number of heartbeats received.
	heartbeats      int
	heartbeatSentAt int64
	// summarySynced says that the peer has received all earlier summaries, so that
	// the next one needs to hold only changes.
	summarySynced bool
	// documentSentAt is when a document was last sent at the peer's request.
	documentSentAt int64
	// countedSent and countedReceived are the bytes that Counters include already.
	countedSent, countedReceived uint64
}

func muxConfig() *yamux.Config {
	config := yamux.DefaultConfig()
	// Heartbeats detect unresponsive peers; yamux keep-alives would only add bytes to
	// the link.
	config.EnableKeepAlive = false
	config.AcceptBacklog = streamsPerSide
	config.ConnectionWriteTimeout = writeTimeout
	config.StreamOpenTimeout = 0
	config.StreamCloseTimeout = writeTimeout
	config.LogOutput = io.Discard
	return config
}

// newSession starts the multiplexer on a connection after its TLS handshake.
func newSession(conn *countedConn, secured net.Conn, dialled bool, address string) (*session, error) {
	s := &session{
		conn:    conn,
		dialled: dialled,
		address: address,
		urgent:  make(chan []byte, maxQueuedFrames),
		bulk:    make(chan []byte, maxQueuedFrames),
		closed:  make(chan struct{}),

		registered: make(chan struct{}),
	}
	var err error
	if dialled {
		s.mux, err = yamux.Client(secured, muxConfig())
	} else {
		s.mux, err = yamux.Server(secured, muxConfig())
	}
	return s, eris.Wrap(err, "start multiplexer")
}

// close ends the session without waiting. It may be called more than once.
func (s *session) close() {
	s.closeOnce.Do(func() {
		close(s.closed)
		// Close waits for the multiplexer's goroutines, which may be blocked in a read.
		go func() { _ = s.mux.Close() }()
	})
}

// isRegistered reports whether the first heartbeat was processed.
func (s *session) isRegistered() bool {
	select {
	case <-s.registered:
		return true
	default:
		return false
	}
}

// send queues a frame. It returns false if the queue is full or the frame is too
// large. A full urgent queue closes the session.
func (s *session) send(frame *peerpb.Frame, urgent bool) bool {
	data, err := EncodeFrame(frame)
	if err != nil {
		return false
	}
	queue := s.bulk
	if urgent {
		queue = s.urgent
	}
	select {
	case queue <- data:
		return true
	default:
	}
	if urgent {
		s.close()
	}
	return false
}

// write opens a stream and writes the frames of a queue to it until the session ends.
func (s *session) write(queue chan []byte) {
	defer s.close()
	stream, err := s.mux.OpenStream()
	if err != nil {
		return
	}
	for {
		select {
		case data := <-queue:
			_, err = stream.Write(data)
			if err != nil {
				return
			}
		case <-s.closed:
			return
		}
	}
}

// read accepts the peer's streams and passes their frames to handle until the session
// ends. It returns the first error that wraps ErrBadFrame, else nil.
func (s *session) read(handle func(*peerpb.Frame) error) error {
	defer s.close()
	readErrors := make(chan error, streamsPerSide)
	var readers sync.WaitGroup
	for range streamsPerSide {
		stream, err := s.mux.AcceptStream()
		if err != nil {
			break
		}
		readers.Go(func() { readErrors <- s.readStream(stream, handle) })
	}
	readers.Wait()
	close(readErrors)
	for err := range readErrors {
		if eris.Is(err, ErrBadFrame) {
			return err
		}
	}
	return nil
}

func (s *session) readStream(stream *yamux.Stream, handle func(*peerpb.Frame) error) error {
	defer s.close()
	for {
		frame, err := ReadFrame(stream)
		if err != nil {
			return err
		}
		err = handle(frame)
		if err != nil {
			return err
		}
	}
}
