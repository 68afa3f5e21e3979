package logging

import (
	stdlog "log"

	"github.com/go-kit/log"
)

// CaptureStandard sends the lines of the standard logger, to which net/http reports faults of connections, to logger.
// It changes the whole process and is called once, by the program.
func CaptureStandard(logger log.Logger) {
	stdlog.SetFlags(0)
	stdlog.SetOutput(log.NewStdlibAdapter(Part(logger, "http")))
}
