package preset

import (
	"bytes"
	"fmt"
	"regexp"
	"strconv"

	"github.com/rotisserie/eris"
)

// Base says which stored revision of which preset a document was edited from.
type Base struct {
	Name     string
	Revision uint64
}

const basePrefix = "// balsamhill preset "

var basePattern = regexp.MustCompile(`^// balsamhill preset ([a-z][a-z0-9-]{0,62}) at revision (\d{1,20})(?:;.*)?$`)

// WithBase puts a comment line with the base in front of a document. Operators
// edit the document below it, and SplitBase finds it again.
func WithBase(base Base, document []byte) []byte {
	line := fmt.Sprintf("%s%s at revision %d; keep this line so that apply detects other edits\n",
		basePrefix, base.Name, base.Revision)
	return append([]byte(line), document...)
}

// SplitBase removes the comment line of WithBase if it is the first line. A nil
// base means that there is none. A line that was damaged is refused, because
// ignoring it would switch the check off.
func SplitBase(document []byte) (*Base, []byte, error) {
	// Some editors put a byte order mark in front.
	document = bytes.TrimPrefix(document, []byte("\xef\xbb\xbf"))
	if !bytes.HasPrefix(document, []byte(basePrefix)) {
		return nil, document, nil
	}
	line, rest, _ := bytes.Cut(document, []byte("\n"))
	found := basePattern.FindSubmatch(bytes.TrimRight(line, "\r"))
	if found == nil {
		return nil, nil, eris.Wrapf(ErrInvalid, "line 1: %q is not \"%sNAME at revision NUMBER\"", line, basePrefix)
	}
	revision, err := strconv.ParseUint(string(found[2]), 10, 64)
	if err != nil {
		return nil, nil, eris.Wrapf(ErrInvalid, "line 1: the revision %s is too large", found[2])
	}
	return &Base{Name: string(found[1]), Revision: revision}, rest, nil
}
