package budget

const (
	// requestFraction is the fraction of a process's memory that is reserved for what
	// requests hold, connectionFraction that for connections. The rest is for the program
	// itself, which holds up to 50 MB with the state of a large fleet, and for memory that
	// the garbage collector has not returned yet.
	requestFraction    = 0.3
	connectionFraction = 1.0 / 6
	// heapFraction is the fraction of a process's memory from which the garbage collector
	// works harder. The rest is for the program's code and for memory outside the heap.
	heapFraction = 0.85
	// ConnectionBytes is what a connection holds besides its reservations: a read buffer, a
	// body of up to FreeBytes, a write buffer and the stacks of its goroutines.
	ConnectionBytes = 16 << 10
	// FreeBytes is the size of a body that needs no reservation.
	FreeBytes = 4 << 10

	// reservedFiles is the number of descriptors that the platform reserves for files.
	reservedFiles = 200
	// clientFraction is the fraction of the other descriptors that clients may take. The
	// rest is for the store, peers and endpoints.
	clientFraction = 0.75
	// minConnections is the least number of client connections that are allowed.
	minConnections = 16
)

// Limits are the limits of a process, 0 if there is none.
type Limits struct {
	// Requests is the number of bytes that requests may hold, Heap the size from which the
	// garbage collector works harder.
	Requests int64
	Heap     int64
	// Connections is the number of connections of clients.
	Connections int
}

// Derive derives limits from the memory of a process in bytes and its number of
// descriptors. 0 stands for no limit.
func Derive(memory int64, descriptors int) Limits {
	var l Limits
	if memory > 0 {
		l.Requests = int64(float64(memory) * requestFraction)
		l.Heap = int64(float64(memory) * heapFraction)
		l.Connections = max(minConnections, int(float64(memory)*connectionFraction/ConnectionBytes))
	}
	if descriptors > 0 {
		clients := max(minConnections, int(float64(descriptors-reservedFiles)*clientFraction))
		if l.Connections == 0 || clients < l.Connections {
			l.Connections = clients
		}
	}
	return l
}
