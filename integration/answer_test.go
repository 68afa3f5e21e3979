package integration

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"coltsfootusher.example/core/call"
	"coltsfootusher.example/standin/caller"
	"coltsfootusher.example/standin/target"
)

const (
	answerCallers = 40
	answerCalls   = 60
	// answerTimeout is shorter than the delay of a late target.
	answerTimeout = 300 * time.Millisecond
)

// Guards against answers that are cut, crossed, repeated or late and reach a caller as the whole answer to its request,
// at the target of the call and at one below it, under load and on reused connections.
func TestWholeAndOwnAnswers(t *testing.T) {
	t.Parallel()
	const seed = 21
	f := startSablons(t, seed)
	c := newCounter(f, "answers")
	marks := []target.Fault{
		target.NoFault, target.NoFault, target.NoFault, target.Late, target.Truncated, target.TruncatedChunked,
		target.Crossed, target.Duplicated,
	}
	var whole, timedOut atomic.Int64
	var mu sync.Mutex
	reasons := make(map[string]int)
	var group sync.WaitGroup
	for worker := range answerCallers {
		group.Go(func() {
			random := rand.New(rand.NewPCG(seed, uint64(worker)))
			for number := range answerCalls {
				mark := ""
				if fault := marks[random.IntN(len(marks))]; fault != target.NoFault {
					mark = "&standin-fault=" + string(fault) + []string{"", "@trails"}[random.IntN(2)]
				}
				if random.IntN(4) == 0 {
					c.sendMarked(random, mark)
					continue
				}
				path := []string{"/riders", "/contracts", "/trails"}[random.IntN(3)]
				token := fmt.Sprintf("%d-%d", worker, number)
				path += "?" + target.TokenParameter + "=" + token + mark
				key := f.Keys.Keys[random.IntN(len(f.Keys.Keys))].Key
				status, header, body, err := c.exchange(c.entry(random), key, http.MethodGet, path, nil, nil, answerTimeout)
				switch {
				case err != nil:
					timedOut.Add(1)
				case status == http.StatusOK:
					answer, err := target.ParseAnswer(body)
					if err == nil {
						err = answer.Verify(http.MethodGet, path, token, nil)
					}
					if err != nil {
						t.Errorf("%s: %v", path, err)
					}
					whole.Add(1)
				default:
					mu.Lock()
					reasons[header.Get(target.ReasonHeader)]++
					mu.Unlock()
				}
			}
		})
	}
	group.Wait()
	told := c.check(t)
	assert.Check(t, told[string(call.OutcomeUnknown)] > 0, "no fault hit an operation")
	t.Logf("%d whole, %d without an answer, refused %v", whole.Load(), timedOut.Load(), reasons)
	assert.Check(t, whole.Load() > 0)
	for _, reason := range []call.Reason{call.ReasonAnswerMismatch, call.ReasonAnswerTruncated, call.ReasonDeadlineExceeded} {
		assert.Check(t, reasons[string(reason)] > 0, "no answer met the fault behind %s", reason)
	}
}

// sendMarked sends an operation that asks for a fault, and sends it again elsewhere.
func (c *counter) sendMarked(random *rand.Rand, mark string) {
	o := c.operation(random, caller.Issued, "/signings")
	if o == nil {
		return
	}
	o.mark = mark
	c.send(o, c.entry(random), answerTimeout)
	c.send(o, c.entry(random), answerTimeout)
}
