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
	// answerTimeout is shorter than lateTargetMs.
	answerTimeout = 300 * time.Millisecond
)

// Guards against truncated, swapped, duplicated or late answers that reach a caller as the complete answer to its request.
// The faults occur at the first target of the call and at the next one, under load and on reused connections.
func TestDamagedOrForeignAnswersNeverReachCallers(t *testing.T) {
	t.Parallel()
	const seed = 21
	f := startOperationFleet(t, seed)
	c := newOperationClient(f, "answers")
	faultMix := []target.Fault{
		target.NoFault, target.NoFault, target.NoFault, target.Late, target.Truncated, target.TruncatedChunked,
		target.Crossed, target.Duplicated,
	}
	var complete, timedOut atomic.Int64
	var mu sync.Mutex
	reasons := make(map[string]int)
	var group sync.WaitGroup
	for worker := range answerCallerCount {
		group.Go(func() {
			random := rand.New(rand.NewPCG(seed, uint64(worker)))
			for number := range answerCallsPerCaller {
				faultQuery := ""
				if fault := faultMix[random.IntN(len(faultMix))]; fault != target.NoFault {
					faultQuery = "&standin-fault=" + string(fault) + []string{"", "@trails"}[random.IntN(2)]
				}
				if random.IntN(4) == 0 {
					c.sendWithFault(random, faultQuery)
					continue
				}
				path := []string{"/riders", "/contracts", "/trails"}[random.IntN(3)]
				token := fmt.Sprintf("%d-%d", worker, number)
				path += "?" + target.TokenParameter + "=" + token + faultQuery
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
					complete.Add(1)
				default:
					mu.Lock()
					reasons[header.Get(target.ReasonHeader)]++
					mu.Unlock()
				}
			}
		})
	}
	group.Wait()
	outcomeCounts := c.checkHistory(t)
	assert.Check(t, outcomeCounts[string(call.OutcomeUnknown)] > 0, "no operation was affected by a fault")
	t.Logf("%d complete, %d without an answer, refused %v", complete.Load(), timedOut.Load(), reasons)
	assert.Check(t, complete.Load() > 0)
	for _, reason := range []call.Reason{call.ReasonAnswerMismatch, call.ReasonAnswerTruncated, call.ReasonDeadlineExceeded} {
		assert.Check(t, reasons[string(reason)] > 0, "no request was refused for %s", reason)
	}
}

// sendWithFault sends an operation that requests a fault from the target, and retries it at another entry.
func (c *operationClient) sendWithFault(random *rand.Rand, faultQuery string) {
	o := c.newOperation(random, caller.Issued, "/signings")
	if o == nil {
		return
	}
	o.faultQuery = faultQuery
	c.sendAttempt(o, c.randomEntry(random), answerTimeout)
	c.sendAttempt(o, c.randomEntry(random), answerTimeout)
}
