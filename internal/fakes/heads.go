package fakes

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
