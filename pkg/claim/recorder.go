package claim

// Recorder keeps a copy of the body of a response for the row of its claim.
type Recorder struct {
	// Enabled says that there is a claim.
	Enabled    bool
	body       []byte
	overflowed bool
}

// Add adds a part of the body. A body of more than MaxResponseBytes is forgotten.
func (r *Recorder) Add(data []byte) {
	if !r.Recording() {
		return
	}
	if len(r.body)+len(data) > MaxResponseBytes {
		r.overflowed = true
		r.body = nil
		return
	}
	r.body = append(r.body, data...)
}

// Recording reports whether the rest of the body is still of use.
func (r *Recorder) Recording() bool {
	return r.Enabled && !r.overflowed
}

// Overflowed reports whether the body was too large.
func (r *Recorder) Overflowed() bool {
	return r.overflowed
}

// Body returns the body as far as it was added, nil if it was too large.
func (r *Recorder) Body() []byte {
	return r.body
}
