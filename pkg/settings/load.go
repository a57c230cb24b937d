package settings

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"regexp"
	"strings"

	"github.com/rotisserie/eris"
	"github.com/tailscale/hujson"
)

// ErrInvalid is wrapped by all errors of Parse.
var ErrInvalid = eris.New("invalid settings")

// Load reads and validates a settings file. The error joins all problems found,
// each with the file's name.
func Load(path string) (*Settings, error) {
	document, err := os.ReadFile(path)
	if err != nil {
		return nil, eris.Wrapf(ErrInvalid, "%v", err)
	}
	return Parse(path, document)
}

// Parse reads and validates a settings document. The name stands in errors.
func Parse(name string, document []byte) (*Settings, error) {
	standard, err := hujson.Standardize(bytes.Clone(document))
	if err != nil {
		return nil, fmt.Errorf("%w: %s: %w", ErrInvalid, name, err)
	}
	s := defaults()
	decoder := json.NewDecoder(bytes.NewReader(standard))
	decoder.DisallowUnknownFields()
	err = decoder.Decode(s)
	if err != nil {
		return nil, fmt.Errorf("%w: %s:%d: %w", ErrInvalid, name, errorLine(standard, decoder, err), err)
	}
	problems := s.validate()
	joined := make([]error, 0, len(problems))
	for _, problem := range problems {
		joined = append(joined, fmt.Errorf("%w: %s:%d: %s", ErrInvalid, name, lineOf(document, problem.field), problem))
	}
	if len(joined) > 0 {
		return nil, errors.Join(joined...)
	}
	return s, nil
}

// errorLine returns the line on which decoding failed. Standardize keeps line
// breaks, so lines agree with the original document.
func errorLine(document []byte, decoder *json.Decoder, err error) int {
	offset := decoder.InputOffset()
	var syntaxError *json.SyntaxError
	var typeError *json.UnmarshalTypeError
	switch {
	case errors.As(err, &syntaxError):
		offset = syntaxError.Offset
	case errors.As(err, &typeError):
		offset = typeError.Offset
	}
	if name, ok := strings.CutPrefix(err.Error(), "json: unknown field "); ok {
		if at := bytes.Index(document, []byte(name)); at >= 0 {
			offset = int64(at)
		}
	}
	offset = min(offset, int64(len(document)))
	return 1 + bytes.Count(document[:offset], []byte("\n"))
}

var indexPattern = regexp.MustCompile(`^(.*)\[(\d+)\]$`)

// lineOf finds the line of a field such as "services[1].slots" by walking the
// syntax tree. It returns the line of the nearest enclosing value that exists.
func lineOf(document []byte, field string) int {
	value, err := hujson.Parse(document)
	if err != nil {
		return 1
	}
	pointer := ""
	best := value.StartOffset
	for part := range strings.SplitSeq(field, ".") {
		index := indexPattern.FindStringSubmatch(part)
		if index != nil {
			pointer += "/" + index[1] + "/" + index[2]
		} else {
			pointer += "/" + part
		}
		found := value.Find(pointer)
		if found == nil {
			break
		}
		best = found.StartOffset
	}
	best = min(best, len(document))
	return 1 + bytes.Count(document[:best], []byte("\n"))
}
