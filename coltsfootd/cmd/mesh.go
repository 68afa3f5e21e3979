package cmd

import (
	"context"
	"expvar"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"coltsfootusher.example/coltsfootd/logging"
	"coltsfootusher.example/coltsfootd/mesh"
	"coltsfootusher.example/coltsfootd/meshsetting"
	"coltsfootusher.example/coltsfootd/metric"
	"coltsfootusher.example/platform"
)

const (
	platformDialTimeout    = 500 * time.Millisecond
	platformKeepAlive      = time.Second
	platformIdleConns      = 4
	platformMaxHeaderBytes = 64 << 10

	// meshGCPercent keeps the heap small, because the node shares its VM with the target.
	meshGCPercent = 100
	// memoryLimitFraction is the fraction of memoryMB above which garbage collections become frequent.
	memoryLimitFraction = 0.7
	bytesPerMB          = 1 << 20
)

// runMesh runs a node on the users' platform until it receives SIGTERM or SIGINT.
func runMesh(path string, stdout io.Writer) error {
	// A signal without a handler would end the process.
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	settings, err := meshsetting.Load(path)
	if err != nil {
		return err
	}
	if os.Getenv("GOGC") == "" {
		debug.SetGCPercent(meshGCPercent)
	}
	if settings.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(settings.MemoryMB * memoryLimitFraction * bytesPerMB))
	}
	logs := logging.NewAsync(stdout)
	defer func() { _ = logs.Close() }()
	store := platform.New(settings.PlatformAddress, settings.PeerAddrPort().Port(), newPlatformTransport())
	n, err := mesh.New(settings, store, platform.Dialect{}, expvar.NewMap(metric.MapName), logs)
	if err != nil {
		return err
	}
	go func() {
		for range reload {
			n.Reload(meshsetting.Load(path))
		}
	}()
	return n.Run(ctx)
}

// checkMeshSettings prints the first problem of the settings file.
func checkMeshSettings(path string, stdout, stderr io.Writer) int {
	if _, err := meshsetting.Load(path); err != nil {
		_, _ = fmt.Fprintln(stderr, err)
		return exitFailure
	}
	_, _ = fmt.Fprintf(stdout, "%s: settings are valid\n", path)
	return exitOK
}

// newPlatformTransport keeps few idle connections and detects a dead connection soon.
func newPlatformTransport() *http.Transport {
	dialer := &net.Dialer{Timeout: platformDialTimeout, KeepAliveConfig: net.KeepAliveConfig{
		Enable: true, Idle: platformKeepAlive, Interval: platformKeepAlive, Count: 2,
	}}
	return &http.Transport{
		DialContext: dialer.DialContext, MaxIdleConnsPerHost: platformIdleConns, DisableCompression: true,
		MaxResponseHeaderBytes: platformMaxHeaderBytes,
	}
}
