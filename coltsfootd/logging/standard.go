package logging

import (
	stdlog "log"

	"github.com/go-kit/log"
)

// RedirectStandardLogger sends the output of the standard logger, to which net/http reports connection errors, to
// logger. It affects the whole process and should be called only once, by the program.
func RedirectStandardLogger(logger log.Logger) {
	stdlog.SetFlags(0)
	stdlog.SetOutput(log.NewStdlibAdapter(WithPart(logger, "http")))
}
