package preset

import (
	"bytes"
	"fmt"
	"regexp"
	"strconv"

	"github.com/rotisserie/eris"
)

// Base identifies the stored preset and the revision from which a document was
// edited.
type Base struct {
	Name     string
	Revision uint64
}

const basePrefix = "// balsamhill preset "

var basePattern = regexp.MustCompile(`^// balsamhill preset ([a-z][a-z0-9-]{0,62}) at revision (\d{1,20})(?:;.*)?$`)

// WithBase inserts a comment line with the base before a document. Operators edit
// the document below it, and SplitBase reads the line back.
func WithBase(base Base, document []byte) []byte {
	line := fmt.Sprintf("%s%s at revision %d; keep this line so that apply detects other edits\n",
		basePrefix, base.Name, base.Revision)
	return append([]byte(line), document...)
}

// SplitBase removes the comment line of WithBase if it is the first line. A nil
// base means that there is none. A damaged line is an error, because ignoring it
// would disable the check for other edits.
func SplitBase(document []byte) (*Base, []byte, error) {
	// Some editors insert a byte order mark.
	document = bytes.TrimPrefix(document, []byte("\xef\xbb\xbf"))
	if !bytes.HasPrefix(document, []byte(basePrefix)) {
		return nil, document, nil
	}
	line, rest, _ := bytes.Cut(document, []byte("\n"))
	groups := basePattern.FindSubmatch(bytes.TrimRight(line, "\r"))
	if groups == nil {
		return nil, nil, eris.Wrapf(ErrInvalid, "line 1: %q is not \"%sNAME at revision NUMBER\"", line, basePrefix)
	}
	revision, err := strconv.ParseUint(string(groups[2]), 10, 64)
	if err != nil {
		return nil, nil, eris.Wrapf(ErrInvalid, "line 1: the revision %s is too large", groups[2])
	}
	return &Base{Name: string(groups[1]), Revision: revision}, rest, nil
}
