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
	answerCallerCount    = 40
	answerCallsPerCaller = 60
	// answerTimeout is shorter than the delay of a late target.
	answerTimeout = 300 * time.Millisecond
)

// Guards against answers that are cut, crossed, repeated or late and reach a caller as the whole answer to its request,
// at the target of the call and at one below it, under load and on reused connections.
func TestDamagedOrForeignAnswersNeverReachCallers(t *testing.T) {
	t.Parallel()
	const seed = 21
	f := startOperationFleet(t, seed)
	c := newOperationClient(f, "answers")
	marks := []target.Fault{
		target.NoFault, target.NoFault, target.NoFault, target.Late, target.Truncated, target.TruncatedChunked,
		target.Crossed, target.Duplicated,
	}
	var whole, timedOut atomic.Int64
	var mu sync.Mutex
	reasons := make(map[string]int)
	var group sync.WaitGroup
	for worker := range answerCallerCount {
		group.Go(func() {
			random := rand.New(rand.NewPCG(seed, uint64(worker)))
			for number := range answerCallsPerCaller {
				mark := ""
				if fault := marks[random.IntN(len(marks))]; fault != target.NoFault {
					mark = "&standin-fault=" + string(fault) + []string{"", "@trails"}[random.IntN(2)]
				}
				if random.IntN(4) == 0 {
					c.sendWithFault(random, mark)
					continue
				}
				path := []string{"/riders", "/contracts", "/trails"}[random.IntN(3)]
				token := fmt.Sprintf("%d-%d", worker, number)
				path += "?" + target.TokenParameter + "=" + token + mark
				key := f.Keys.Keys[random.IntN(len(f.Keys.Keys))].Key
				status, header, body, err := c.doRequest(c.randomEntry(random), key, http.MethodGet, path, nil, nil, answerTimeout)
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
	told := c.checkHistory(t)
	assert.Check(t, told[string(call.OutcomeUnknown)] > 0, "no fault hit an operation")
	t.Logf("%d whole, %d without an answer, refused %v", whole.Load(), timedOut.Load(), reasons)
	assert.Check(t, whole.Load() > 0)
	for _, reason := range []call.Reason{call.ReasonAnswerMismatch, call.ReasonAnswerTruncated, call.ReasonDeadlineExceeded} {
		assert.Check(t, reasons[string(reason)] > 0, "no answer met the fault behind %s", reason)
	}
}

// sendWithFault sends an operation that asks for a fault, and sends it again elsewhere.
func (c *operationClient) sendWithFault(random *rand.Rand, mark string) {
	o := c.newOperation(random, caller.Issued, "/signings")
	if o == nil {
		return
	}
	o.faultQuery = mark
	c.sendAttempt(o, c.randomEntry(random), answerTimeout)
	c.sendAttempt(o, c.randomEntry(random), answerTimeout)
}
