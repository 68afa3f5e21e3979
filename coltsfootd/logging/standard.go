package logging

import (
	stdlog "log"

	"github.com/go-kit/log"
)

// RedirectStandardLogger sends the lines of the standard logger, to which net/http reports faults of connections, to logger.
// It changes the whole process and is called once, by the program.
func RedirectStandardLogger(logger log.Logger) {
	stdlog.SetFlags(0)
	stdlog.SetOutput(log.NewStdlibAdapter(WithPart(logger, "http")))
}
