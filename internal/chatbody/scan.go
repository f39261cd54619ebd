package chatbody

import (
	"bytes"
	"encoding/json"
)

// members calls visit with the name of each member of a valid object, the member and its value.
func members(data []byte, visit func(name, member, value []byte)) {
	for at := first(data); data[at] != '}'; {
		nameEnd := valueEnd(data, at)
		value := skipSpace(data, skipSpace(data, nameEnd)+len(":"))
		end := valueEnd(data, value)
		visit(decodeName(data[at:nameEnd]), data[at:end], data[value:end])
		at = next(data, end)
	}
}

// elements calls visit with each element of a valid array.
func elements(data []byte, visit func(element []byte)) {
	for at := first(data); data[at] != ']'; {
		end := valueEnd(data, at)
		visit(data[at:end])
		at = next(data, end)
	}
}

// first returns the position behind the opening bracket of a value.
func first(data []byte) int { return skipSpace(data, skipSpace(data, 0)+1) }

// next returns the position of the next element or of the closing bracket.
func next(data []byte, at int) int {
	at = skipSpace(data, at)
	if data[at] == ',' {
		at = skipSpace(data, at+1)
	}
	return at
}

func skipSpace(data []byte, at int) int {
	for at < len(data) && (data[at] == ' ' || data[at] == '\t' || data[at] == '\n' || data[at] == '\r') {
		at++
	}
	return at
}

// valueEnd returns the position behind the value at a position.
func valueEnd(data []byte, at int) int {
	depth := 0
	for ; at < len(data); at++ {
		switch data[at] {
		case '"':
			at = stringEnd(data, at) - 1
		case '{', '[':
			depth++
			continue
		case '}', ']':
			depth--
		default:
			if depth == 0 {
				return literalEnd(data, at)
			}
			continue
		}
		if depth == 0 {
			return at + 1
		}
	}
	return at
}

// stringEnd returns the position behind the string at a position.
func stringEnd(data []byte, at int) int {
	for at++; data[at] != '"'; at++ {
		if data[at] == '\\' {
			at++
		}
	}
	return at + 1
}

// literalEnd returns the position behind the number or word at a position.
func literalEnd(data []byte, at int) int {
	for at < len(data) && bytes.IndexByte([]byte(",]} \t\n\r"), data[at]) < 0 {
		at++
	}
	return at
}

func decodeName(quoted []byte) []byte {
	if bytes.IndexByte(quoted, '\\') < 0 {
		return quoted[1 : len(quoted)-1]
	}
	var name string
	_ = json.Unmarshal(quoted, &name) // the body is valid
	return []byte(name)
}
