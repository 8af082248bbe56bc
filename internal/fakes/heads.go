package fakes

import "maps"

// MalformedHeads returns the beginnings of heads that no server may send, by what is wrong with them:
// all of MalformedStatusLines, MalformedHeaders and AmbiguousFramings.
func MalformedHeads() map[string]string {
	heads := MalformedHeaders()
	maps.Copy(heads, AmbiguousFramings)
	for what, line := range MalformedStatusLines {
		heads[what] = line + "\r\n"
	}
	return heads
}

// MalformedStatusLines are status lines that no server may send, by what is wrong with them.
var MalformedStatusLines = map[string]string{
	"status 000":       "HTTP/1.1 000 OK",
	"status 001":       "HTTP/1.1 001 OK",
	"status 099":       "HTTP/1.1 099 OK",
	"status 600":       "HTTP/1.1 600 OK",
	"status 999":       "HTTP/1.1 999 OK",
	"signed status":    "HTTP/1.1 +20 OK",
	"hexadecimal":      "HTTP/1.1 0c8 OK",
	"two digits":       "HTTP/1.1 20 OK",
	"no status":        "HTTP/1.1 OK",
	"another protocol": "HTTP/1.1 101 Switching Protocols",
	"version 0.9":      "HTTP/0.9 200 OK",
	"version 2.0":      "HTTP/2.0 200 OK",
}

// malformedNames are header names that are no tokens, by what is wrong with them.
var malformedNames = map[string]string{
	"blank within":         "X A",
	"blank at the end":     "X-A ",
	"blank at the start":   " X-A",
	"tab within":           "X\tA",
	"tab at the end":       "X-A\t",
	"tab at the start":     "\tX-A",
	"length with a blank":  "Content-Length ",
	"chunks with a blank":  "Transfer-Encoding ",
	"zero byte":            "X-\x00A",
	"control byte":         "X-\x01A",
	"control byte at end":  "X-A\x1f",
	"vertical tab":         "Content-Length\v",
	"carriage return":      "X\rA",
	"line feed":            "X\nA",
	"deleted":              "X-A\x7f",
	"no ASCII":             "X-Ä",
	"bracket":              "X-(A)",
	"nothing":              "",
	"nothing but a blank":  " ",
	"status line repeated": "HTTP/1.1 200 OK\r\nX-A",
}

// MalformedHeaders returns beginnings of heads in which the name of a header is no token, by what
// is wrong with it. The header is the first one or follows on another.
func MalformedHeaders() map[string]string {
	heads := make(map[string]string)
	for what, name := range malformedNames {
		heads[what+", first"] = "HTTP/1.1 200 OK\r\n" + name + ": 3\r\n"
		heads[what] = "HTTP/1.1 200 OK\r\nX-B: c\r\n" + name + ": 3\r\n"
	}
	return heads
}

// AmbiguousFramings are beginnings of heads after which two readers may find different ends of the
// body, by why.
var AmbiguousFramings = map[string]string{
	"length and chunks":         "HTTP/1.1 200 OK\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n",
	"chunks and length":         "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nContent-Length: 3\r\n",
	"chunks in version 1.0":     "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n",
	"chunks in version 1.2":     "HTTP/1.2 200 OK\r\nTransfer-Encoding: chunked\r\n",
	"coded in version 1.0":      "HTTP/1.0 200 OK\r\ntransfer-encoding: gzip\r\n",
	"length, chunks in 1.0":     "HTTP/1.0 200 OK\r\nCONTENT-LENGTH: 3\r\nTRANSFER-ENCODING: chunked\r\n",
	"two lengths":               "HTTP/1.1 200 OK\r\nContent-Length: 3\r\nContent-Length: 3\r\n",
	"list of lengths":           "HTTP/1.1 200 OK\r\nContent-Length: 3, 3\r\n",
	"signed length":             "HTTP/1.1 200 OK\r\nContent-Length: +3\r\n",
	"empty length":              "HTTP/1.1 200 OK\r\nContent-Length:\r\n",
	"chunks twice":              "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n",
	"coding that isn't chunked": "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n",
}
