package strictjson

import "bytes"

// maxDepth bounds the nesting of documents. The parser is recursive, and about
// 1 MB of "[" overflows the stack, on which the Go runtime ends the process.
const maxDepth = 64

// findExcessDepth returns the offset at which the nesting of a document exceeds
// maxDepth. Brackets in strings and comments do not count. The depth is exact up to
// the first syntax error, where the parser stops.
func findExcessDepth(text []byte) (offset int, ok bool) {
	depth := 0
	for i := 0; i < len(text); i++ {
		switch text[i] {
		case '{', '[':
			depth++
			if depth > maxDepth {
				return i, true
			}
		case '}', ']':
			depth--
		case '"':
			i = endOfString(text, i)
		case '/':
			i = endOfComment(text, i)
		}
	}
	return 0, false
}

// endOfString returns the offset of the closing quote of the string that begins at
// start, or the length of the text if there is none.
func endOfString(text []byte, start int) int {
	for i := start + 1; i < len(text); i++ {
		switch text[i] {
		case '\\':
			i++
		case '"':
			return i
		}
	}
	return len(text)
}

// endOfComment returns the offset of the last character of the comment that begins
// at start, start if there is none, or the length of the text if it is not closed.
func endOfComment(text []byte, start int) int {
	rest := text[start:]
	end, length := -1, 0
	switch {
	case bytes.HasPrefix(rest, []byte("//")):
		end, length = bytes.IndexByte(rest, '\n'), 1
	case bytes.HasPrefix(rest, []byte("/*")):
		end, length = bytes.Index(rest[2:], []byte("*/"))+2, 2
		if end < 2 {
			end = -1
		}
	default:
		return start
	}
	if end < 0 {
		return len(text)
	}
	return start + end + length - 1
}
