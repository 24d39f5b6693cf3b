package inbound

import "time"

// Limits are what the operators' configuration allows one request or connection. A limit of 0
// does not apply.
type Limits struct {
	// HeadBytes bounds the request line and the headers.
	HeadBytes int64
	// HeadTimeout bounds the time from the first byte of a head to its last.
	HeadTimeout time.Duration
	// IdleTimeout bounds the time without a byte, between requests and within a body.
	IdleTimeout time.Duration
	// WriteTimeout bounds the time for which a client does not read its answer.
	WriteTimeout time.Duration
}

// Budget is what all clients of a listener may make the process hold together.
type Budget struct {
	// Connections is the number of connections.
	Connections int
	// Memory, in bytes, is for requests: heads, bodies and what they are decoded to. That of the
	// connections themselves is not part of it.
	Memory int64
	// BodyByteCost is the memory that each byte of a body counts for as it is read; 0 means that
	// the handler calls ReadBody, which counts its buffers.
	BodyByteCost int64
}

// Costs that the budgets assume.
const (
	// connectionBytes is the memory of a connection without a request: its buffers, and the
	// stack of its goroutine.
	connectionBytes = 24 << 10
	// headByteCost and headLineCost are the memory for each byte and line of a head: its
	// strings and its entry in a map, which doubles as it grows.
	headByteCost = 2
	headLineCost = 192
	// chunkBytes is the memory that a body takes at a time while it is read.
	chunkBytes = 8 << 10
	// peerByteCost is the memory for each byte of another entry's call: a buffer, which is copied
	// when it grows, and the decoded message.
	peerByteCost = 4
	// DecodeByteCost is the further memory for each byte of a job's body once that is whole: the
	// body, the decoded job, its record and the call that writes the record. Text that is not
	// valid UTF-8 becomes three times as long.
	DecodeByteCost = 16
)

// Shares of a process's resources; the rest is for its own work: the state of the cell, its
// calls to the store, and in the heap what waits for the garbage collector.
const (
	// heapShare is the part of the VM's memory for the Go heap and stacks, of which codeBytes are
	// taken off for the program itself. What the heap grows beyond its limit while the collector
	// runs must fit into the rest.
	heapShare = 0.75
	codeBytes = 16 << 20
	minHeap   = 24 << 20
	// callerMemoryShare and peerMemoryShare are parts of the VM's memory.
	callerMemoryShare = 0.18
	peerMemoryShare   = 0.06
	// jobMemoryShare is for the jobs of the cell, while the process owns it.
	jobMemoryShare = 0.24
	// callerDescriptorShare and peerDescriptorShare are for connections of customers and of
	// other entries, onwardDescriptorShare for the calls that customers' calls make, and
	// workerDescriptorShare for connections to workers.
	callerDescriptorShare = 0.17
	peerDescriptorShare   = 0.08
	onwardDescriptorShare = 0.06
	workerDescriptorShare = 0.60
)

// Bounds that hold whatever the process may use.
const (
	// defaultMemory and defaultDescriptors are assumed if the limit is unknown.
	defaultMemory      = 512 << 20
	defaultDescriptors = 4096
	// minConnections and minMemory let one request of the largest size be served in a process
	// with little memory: a head of 16 KiB in lines of a few bytes and a body of 256 KiB.
	// minPeerMemory does so for a message of 1 MiB, the size of the store's largest value.
	minConnections = 16
	minMemory      = 8 << 20
	minPeerMemory  = 6 << 20
	// onwardPerCall is how many connections one call may open onward at once: its first and
	// those of its other ways to the store.
	onwardPerCall  = 2
	minOnwardCalls = 4
	// recordReadBytes is the memory for the answer with the store's largest value: as text, and
	// decoded.
	recordReadBytes = 4 << 20
	minRecordReads  = 2
	// internalConnections is for listeners that only the platform calls.
	internalConnections = 8
	internalMemory      = 512 << 10
)

// Budgets divide what the process may use among its listeners and its own calls.
type Budgets struct {
	// HeapBytes is the limit for the garbage collector; 0 means none.
	HeapBytes int64
	// Callers is for customers, Peers for other entries, Internal for each listener that only
	// the platform calls.
	Callers, Peers, Internal Budget
	// JobBytes is the memory for the jobs of the cell.
	JobBytes int64
	// OnwardCalls is how many of the customers' calls may call the store or other entries at
	// the same time.
	OnwardCalls int
	// RecordReads is how many records of jobs may be read for customers at the same time.
	RecordReads int
	// WorkerConnections is the number of connections to workers; 0 means no bound.
	WorkerConnections int
}

// BudgetsFor returns the budgets of a process that may use the given memory in bytes and open
// the given number of descriptors; 0 means that the limit is unknown.
func BudgetsFor(memory int64, descriptors int) Budgets {
	b := Budgets{
		HeapBytes:         max(int64(heapShare*float64(memory))-codeBytes, minHeap),
		Internal:          Budget{Connections: internalConnections, Memory: internalMemory, BodyByteCost: 1},
		WorkerConnections: int(workerDescriptorShare * float64(descriptors)),
	}
	if memory <= 0 {
		b.HeapBytes, memory = 0, defaultMemory
	}
	if descriptors <= 0 {
		b.WorkerConnections, descriptors = 0, defaultDescriptors
	}
	b.Callers = budgetFor(callerMemoryShare*float64(memory), callerDescriptorShare*float64(descriptors), minMemory)
	b.Peers = budgetFor(peerMemoryShare*float64(memory), peerDescriptorShare*float64(descriptors), minPeerMemory)
	b.Peers.BodyByteCost = peerByteCost
	b.JobBytes = int64(jobMemoryShare * float64(memory))
	b.RecordReads = max(int(b.Callers.Memory/recordReadBytes), minRecordReads)
	b.OnwardCalls = max(int(onwardDescriptorShare*float64(descriptors))/onwardPerCall, minOnwardCalls)
	return b
}

// budgetFor divides memory between connections and their requests: connections get at most half.
func budgetFor(memory, connections float64, least int64) Budget {
	n := max(min(int(connections), int(memory/2/connectionBytes)), minConnections)
	return Budget{Connections: n, Memory: max(int64(memory)-int64(n)*connectionBytes, least)}
}
