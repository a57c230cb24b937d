package strictjson

import "bytes"

// maxDepth bounds the nesting of documents. The parser is recursive, and the
// runtime ends the process on a stack overflow, which about 1 MB of "[" causes.
const maxDepth = 64

// exceedsMaxDepth returns the offset at which a document is nested deeper than maxDepth.
// Brackets in texts and comments don't count. The count is exact up to the first
// syntax error, where the parser stops.
func exceedsMaxDepth(text []byte) (offset int, ok bool) {
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

// endOfString returns the offset of the closing quote, or the last one.
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

// endOfComment returns the offset of the last character of a comment.
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
