package mesh_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"runtime/debug"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"coltsfootusher.example/coltsfootd/meshsetting"
	"coltsfootusher.example/coltsfootd/message"
	"coltsfootusher.example/coltsfootd/socket"
	"coltsfootusher.example/coltsfootd/upstream"
)

const (
	// benchGCPercent is the garbage collection target of the command mesh.
	benchGCPercent = 100
	// benchBody is the body of operations and of all responses.
	benchBody = `{"shelf":17,"items":[4,8,15,16,23,42],"note":"a small body"}`
	// benchCallerHeaders are the headers that a caller sends besides the id and the key.
	benchCallerHeaders = "User-Agent: bench/1.0\r\nAccept: application/json\r\nContent-Type: application/json\r\n"
)

// BenchmarkCall measures a request that enters at one node and runs at the target beside another, over kept connections. The
// process holds the caller, both nodes and the target.
func BenchmarkCall(b *testing.B) {
	f := newBenchFleet(b)
	for name, request := range benchRequests() {
		b.Run(name, func(b *testing.B) { benchmarkRequests(b, f.nodes[0].entry, request) })
	}
}

// BenchmarkCallWithoutNodes measures the caller and the target of BenchmarkCall without the nodes between them.
func BenchmarkCallWithoutNodes(b *testing.B) {
	target := serveMinimalTarget(b, "t0")
	for name, request := range benchRequests() {
		b.Run(name, func(b *testing.B) { benchmarkRequests(b, target, request) })
	}
}

// BenchmarkBareHops measures the path of BenchmarkCall with servers that do nothing but pass requests and responses on. What it
// takes can't be saved while servers use net/http.
func BenchmarkBareHops(b *testing.B) {
	address := serveMinimalTarget(b, "t1")
	for range 2 {
		pool := upstream.New(address, upstream.Settings{
			DialTimeout: time.Second, AckTimeout: time.Second, IdleTimeout: time.Minute, MaxIdle: 4, BufferBytes: 64 << 10,
			Sockets: socket.NewBudget(1 << 10),
		})
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			body, err := io.ReadAll(r.Body)
			if err != nil {
				return
			}
			message.RemoveHopByHopHeaders(r.Header)
			response, err := pool.Do(r.Context(), &upstream.Request{
				Method: r.Method, URI: r.RequestURI, Host: r.Host, Header: r.Header, Body: body,
			})
			if err != nil {
				w.WriteHeader(http.StatusBadGateway)
				return
			}
			message.WriteResponse(w, response)
		}))
		b.Cleanup(server.Close)
		address = strings.TrimPrefix(server.URL, "http://")
	}
	for name, request := range benchRequests() {
		b.Run(name, func(b *testing.B) { benchmarkRequests(b, address, request) })
	}
}

// benchRequests returns the requests of an account with its key.
func benchRequests() map[string]string {
	const head = " HTTP/1.1\r\nHost: h\r\nId: 0f8fad5b-d9cb-469f-a165-70867728950e\r\nKey: secret\r\n" + benchCallerHeaders
	return map[string]string{
		"lookup":    "GET /voidlist/17?full=1" + head + "\r\n",
		"operation": "POST /voids/17" + head + "Content-Length: " + strconv.Itoa(len(benchBody)) + "\r\n\r\n" + benchBody,
	}
}

// newBenchFleet starts a node at which requests enter and one beside the only target of their service.
func newBenchFleet(b *testing.B) *fleet {
	b.Helper()
	previous := debug.SetGCPercent(benchGCPercent)
	b.Cleanup(func() { debug.SetGCPercent(previous) })
	address := serveMinimalTarget(b, "t1")
	f := newFleetWith(b, func(s *meshsetting.Settings) {
		if s.Service == "voids" {
			s.TargetAddress = address
		}
	}, "riders", "voids")
	return f
}

// benchmarkRequests sends the request on one connection and reports, besides time and allocations, the processor time and the
// read and write system calls of the whole process for each call.
func benchmarkRequests(b *testing.B, address, request string) {
	c, err := (&net.Dialer{}).DialContext(b.Context(), "tcp", address)
	assert.NilError(b, err)
	defer func() { _ = c.Close() }()
	reader := bufio.NewReader(c)
	for range 100 {
		exchange(b, c, reader, request)
	}
	b.ReportAllocs()
	systemCalls, processorTime := readAndWriteCalls(b), processorTime(b)
	for b.Loop() {
		exchange(b, c, reader, request)
	}
	spent := processorTimeSince(b, processorTime)
	calls := float64(b.N)
	b.ReportMetric(float64(spent.Nanoseconds())/calls, "cpu-ns/op")
	b.ReportMetric(float64(readAndWriteCalls(b)-systemCalls)/calls, "syscalls/op")
}

// exchange sends the request and reads its response.
func exchange(tb testing.TB, c net.Conn, reader *bufio.Reader, request string) {
	if _, err := io.WriteString(c, request); err != nil {
		tb.Fatal(err)
	}
	status, err := reader.ReadSlice('\n')
	if err != nil || !strings.HasPrefix(string(status), "HTTP/1.1 200 ") {
		tb.Fatalf("read %q: %v", status, err)
	}
	if _, _, err := skipMessage(reader); err != nil {
		tb.Fatal(err)
	}
}

// skipMessage reads the headers and the body of a message and returns the values of the headers Id and Target.
func skipMessage(reader *bufio.Reader) (id, target string, err error) {
	length := 0
	for {
		line, err := reader.ReadSlice('\n')
		if err != nil {
			return "", "", err
		}
		name, value, found := strings.Cut(strings.TrimSpace(string(line)), ": ")
		if !found {
			break
		}
		switch name {
		case "Id":
			id = value
		case "Target":
			target = value
		case "Content-Length":
			if length, err = strconv.Atoi(value); err != nil {
				return "", "", err
			}
		}
	}
	_, err = reader.Discard(length)
	return id, target, err
}

// serveMinimalTarget starts a target that answers at little cost to the process.
func serveMinimalTarget(tb testing.TB, id string) string {
	tb.Helper()
	listener, err := (&net.ListenConfig{}).Listen(tb.Context(), "tcp", "127.0.0.1:0")
	assert.NilError(tb, err)
	tb.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go serveMinimalConn(c, id)
		}
	}()
	return listener.Addr().String()
}

func serveMinimalConn(c net.Conn, id string) {
	defer func() { _ = c.Close() }()
	reader := bufio.NewReader(c)
	for {
		if _, err := reader.ReadSlice('\n'); err != nil {
			return
		}
		requestID, _, err := skipMessage(reader)
		if err != nil {
			return
		}
		_, err = fmt.Fprintf(c, "HTTP/1.1 %d OK\r\nId: %s\r\nBy: %s\r\nContent-Type: application/json\r\n"+
			"Content-Length: %d\r\n\r\n%s", http.StatusOK, requestID, id, len(benchBody), benchBody)
		if err != nil {
			return
		}
	}
}

// processorTime returns the user and system time that the process has used.
func processorTime(tb testing.TB) time.Duration {
	var usage syscall.Rusage
	assert.NilError(tb, syscall.Getrusage(syscall.RUSAGE_SELF, &usage))
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

func processorTimeSince(tb testing.TB, start time.Duration) time.Duration {
	return processorTime(tb) - start
}

// readAndWriteCalls returns the number of read and write system calls of the process; peeks at connections are not among them.
func readAndWriteCalls(tb testing.TB) int64 {
	raw, err := os.ReadFile("/proc/self/io")
	assert.NilError(tb, err)
	var total int64
	for line := range strings.Lines(string(raw)) {
		name, value, _ := strings.Cut(strings.TrimSpace(line), ": ")
		if name != "syscr" && name != "syscw" {
			continue
		}
		n, err := strconv.ParseInt(value, 10, 64)
		assert.NilError(tb, err)
		total += n
	}
	return total
}
