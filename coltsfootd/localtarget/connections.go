package localtarget

// connectionWatch tells the loss of one connection from that of all, which shows a crash of the target. Requests that began
// before a connection was lost form the earlier generation: all connections are lost if none of these requests is answered on a
// connection that had served another one. A new connection may be one to the target after its restart.
type connectionWatch struct {
	generation uint64
	// current and earlier are the numbers of running requests of the current and the earlier generation.
	current, earlier int
	// undecided is true while the earlier generation may still be answered.
	undecided bool
}

// any reports whether a request is running.
func (w *connectionWatch) any() bool {
	return w.current+w.earlier > 0
}

// begin counts a request and returns its generation.
func (w *connectionWatch) begin() uint64 {
	w.current++
	return w.generation
}

// end records the end of a request, and reports whether all connections that were open before a loss are lost. survived is true
// if the request was answered on a connection that had served another one.
func (w *connectionWatch) end(generation uint64, survived, lost bool) bool {
	switch {
	case generation == w.generation:
		w.current--
		if !lost {
			return false
		}
		w.generation++
		w.earlier, w.current = w.current, 0
		w.undecided = true
	case generation+1 == w.generation:
		w.earlier--
		w.undecided = w.undecided && !survived
	}
	if w.undecided && w.earlier == 0 {
		w.undecided = false
		return true
	}
	return false
}
