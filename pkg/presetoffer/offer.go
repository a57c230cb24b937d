// Package presetoffer defines the message with which the operator tool sends an
// accepted preset directly to gateways. If the store fails after it accepts a change
// and before a gateway reads it, gateways that receive the offer have the change
// nevertheless. Package operator sends offers; package gateway receives them.
package presetoffer

import (
	"bytes"
	"crypto/hmac"
	"crypto/sha256"
	"encoding/binary"
	"os"

	"github.com/rotisserie/eris"

	"balsamhill/pkg/preset"
)

// Path is the path of the admin listener that receives offers, by POST with a JSON
// body.
const Path = "/preset"

// MaxBytes bounds the JSON body of an offer. Base64 makes a document longer by one
// third.
const MaxBytes = 2*preset.MaxDocumentBytes + 4096

// minKeyBytes is the minimum length of an operator key, which excludes keys that
// can be guessed.
const minKeyBytes = 16

var (
	// ErrSignature is returned for an offer that was not signed with the key.
	ErrSignature = eris.New("preset offer has a wrong signature")
	// ErrKey is returned for a key file that cannot be used.
	ErrKey = eris.New("invalid operator key")
)

// Offer is a preset version that the store has accepted.
type Offer struct {
	Revision uint64 `json:"revision"`
	Document []byte `json:"document"`
	// Signature is the HMAC-SHA256 of the revision and the document. It is empty
	// if no key is configured. Replaying an offer is harmless, because a gateway
	// only adopts higher revisions.
	Signature []byte `json:"signature,omitempty"`
}

// New returns an offer, signed unless the key is empty.
func New(revision uint64, document, key []byte) Offer {
	offer := Offer{Revision: revision, Document: document}
	if len(key) > 0 {
		offer.Signature = offer.sign(key)
	}
	return offer
}

// Version checks the signature, unless the key is empty, and parses the document.
func (o Offer) Version(key []byte) (preset.Version, error) {
	if len(key) > 0 && !hmac.Equal(o.Signature, o.sign(key)) {
		return preset.Version{}, ErrSignature
	}
	parsed, err := preset.Parse(o.Document)
	if err != nil {
		return preset.Version{}, err
	}
	return preset.Version{Revision: o.Revision, Preset: parsed, Document: o.Document}, nil
}

func (o Offer) sign(key []byte) []byte {
	mac := hmac.New(sha256.New, key)
	var revision [8]byte
	binary.BigEndian.PutUint64(revision[:], o.Revision)
	// Writing to a hash never fails.
	_, _ = mac.Write(revision[:])
	_, _ = mac.Write(o.Document)
	return mac.Sum(nil)
}

// ReadKey reads an operator key from a file and trims white space around it.
func ReadKey(path string) ([]byte, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, eris.Wrapf(ErrKey, "%v", err)
	}
	key := bytes.TrimSpace(data)
	if len(key) < minKeyBytes {
		return nil, eris.Wrapf(ErrKey, "%s: has %d bytes; at least %d are required", path, len(key), minKeyBytes)
	}
	return key, nil
}
