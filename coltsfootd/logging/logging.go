package logging

import (
	"io"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
)

// New returns a logger in the format "logfmt" or "json" that drops lines below the minimum level.
func New(w io.Writer, format, minLevel, node string) log.Logger {
	w = log.NewSyncWriter(w)
	logger := log.NewLogfmtLogger(w)
	if format == "json" {
		logger = log.NewJSONLogger(w)
	}
	logger = level.NewFilter(logger, level.Allow(level.ParseDefault(minLevel, level.InfoValue())))
	return log.With(logger, "ts", log.DefaultTimestampUTC, "node", node)
}

// WithPart returns a logger that adds the name of a part of the node to each line.
func WithPart(logger log.Logger, part string) log.Logger {
	return log.With(logger, "part", part)
}
