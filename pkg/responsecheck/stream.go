package responsecheck

import "bytes"

// maxLineBytes bounds a line of a head, a trailer or a chunk size. http.Transport bounds whole
// heads; see http.Transport.MaxResponseHeaderBytes.
const maxLineBytes = 256 << 10

// keptLineBytes is how much memory for lines a connection keeps between them.
const keptLineBytes = 4 << 10

// phase is the part of a response that the next byte belongs to.
type phase int

const (
	// phaseIdle means that no response is due: no request was written since the last one.
	phaseIdle phase = iota
	phaseStatusLine
	phaseFields
	phaseBody
	phaseChunkSize
	phaseChunkData
	phaseChunkEnd
	phaseTrailer
	// phaseTunnel follows a switch to another protocol.
	phaseTunnel
)

// Stream checks the bytes that an HTTP/1.x server sends on one connection. The zero value is the
// stream of a new connection. It is not safe for concurrent use.
type Stream struct {
	// request is the one whose response is read or, if expected is set, the next one.
	request  Request
	expected bool
	phase    phase
	// line is the beginning of a line whose end has not arrived.
	line []byte
	head head
	// remaining is the number of bytes that are left of the body or of a chunk.
	remaining int64
	refusal   *Error
}

// Request is what the response to a request depends on.
type Request struct {
	Method string
	// Upgrade says that the request asks to switch protocols.
	Upgrade bool
}

// Expect announces a request. The response to the one before must have ended.
func (s *Stream) Expect(request Request) {
	s.request, s.expected = request, true
}

// Sending says that bytes are about to be written. The first ones after Expect are those of the
// request; the response may begin now.
func (s *Stream) Sending() {
	if !s.expected {
		return
	}
	s.expected = false
	if s.phase != phaseIdle && s.refusal == nil {
		s.refusal = &Error{ReasonUnrequested, "a request was sent before the response to the last one had ended"}
	}
	s.phase, s.head = phaseStatusLine, head{}
}

// Refusal returns why the stream was refused, nil if it was not.
func (s *Stream) Refusal() *Error {
	return s.refusal
}

// Receive checks the next bytes. It returns how many of them belong to the response so far; if there
// are more, the stream is refused from there on. The line that completes a refused head is never
// among them, so that no parser takes the head for a response.
func (s *Stream) Receive(data []byte) (accepted int, refusal *Error) {
	for accepted < len(data) && s.refusal == nil {
		accepted += s.next(data[accepted:])
	}
	return accepted, s.refusal
}

// next processes a part of data and returns its length, 0 if the stream is refused.
func (s *Stream) next(data []byte) int {
	switch s.phase {
	case phaseIdle:
		s.refusal = refuse(ReasonUnrequested, "bytes without a request", data)
		return 0
	case phaseTunnel:
		return len(data)
	case phaseBody, phaseChunkData:
		return s.takeBody(len(data))
	default:
		return s.takeLine(data)
	}
}

func (s *Stream) takeBody(available int) int {
	taken := min(int64(available), s.remaining)
	s.remaining -= taken
	switch {
	case s.remaining > 0:
	case s.phase == phaseChunkData:
		s.phase = phaseChunkEnd
	default:
		s.phase = phaseIdle
	}
	return int(taken)
}

// takeLine processes data up to the end of the current line.
func (s *Stream) takeLine(data []byte) int {
	end := bytes.IndexByte(data, '\n')
	if end < 0 {
		s.line = append(s.line, data...)
		if len(s.line) > maxLineBytes {
			s.refusal = refuse(ReasonFraming, "line too long", s.line)
		}
		return len(data)
	}
	line := data[:end]
	if len(s.line) > 0 {
		line = append(s.line, line...)
	}
	s.refusal = s.endLine(bytes.TrimSuffix(line, []byte("\r")))
	s.line = s.line[:0]
	if cap(s.line) > keptLineBytes {
		s.line = nil
	}
	if s.refusal != nil {
		return 0
	}
	return end + 1
}

// endLine processes a line without its end.
func (s *Stream) endLine(line []byte) *Error {
	switch s.phase {
	case phaseStatusLine:
		s.phase = phaseFields
		return s.head.statusLine(line)
	case phaseFields:
		if len(line) > 0 {
			return s.head.field(line)
		}
		return s.endHead()
	case phaseChunkSize:
		return s.chunkSize(line)
	case phaseChunkEnd:
		s.phase = phaseChunkSize
		if len(line) > 0 {
			return refuse(ReasonFraming, "chunk longer than its size", line)
		}
	case phaseTrailer:
		if len(line) > 0 {
			return trailerField(line)
		}
		s.phase = phaseIdle
	}
	return nil
}

// endHead determines what follows the head.
func (s *Stream) endHead() *Error {
	next, length, refusal := s.head.end(s.request)
	if refusal != nil {
		return refusal
	}
	s.phase, s.remaining = next, length
	if next == phaseStatusLine {
		s.head = head{}
	}
	return nil
}

func (s *Stream) chunkSize(line []byte) *Error {
	size, refusal := parseChunkSize(line)
	if refusal != nil {
		return refusal
	}
	s.phase, s.remaining = phaseChunkData, size
	if size == 0 {
		s.phase = phaseTrailer
	}
	return nil
}
