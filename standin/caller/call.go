package caller

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"

	"coltsfootusher.example/core/call"
	"coltsfootusher.example/standin/target"
)

// The headers between callers and entries.
const (
	// KeyHeader carries "Bearer KEY".
	KeyHeader            = "Authorization"
	OutcomeHeader        = "Operation-Outcome"
	IdempotencyKeyHeader = "Idempotency-Key"
)

// IssuePath is the path at which entries issue operation ids.
const IssuePath = "/.coltsfoot/operations"

const maxAnswerBytes = 16 << 20

// rootCall is one call of a caller with its retries.
type rootCall struct {
	load    *Load
	account Account
	route   Route
	token   string
	arrival time.Time
	// first chooses the entry of the first attempt.
	first     int
	id        string
	issueTime time.Duration
}

func (c *rootCall) run(ctx context.Context) {
	if failed := c.identify(ctx); failed != nil {
		c.load.countEnd(c, []Attempt{*failed}, 0)
		return
	}
	var attempts []Attempt
	for number := 0; number <= c.load.settings.Retries; number++ {
		a := c.attempt(ctx, c.load.entry(c, number))
		attempts = append(attempts, a)
		if !c.retries(a) {
			break
		}
	}
	c.load.countEnd(c, attempts, len(attempts))
}

// retries reports whether an impatient caller sends the request again. It sends a once-only operation with the
// same id, so it stops when the outcome is final.
func (c *rootCall) retries(a Attempt) bool {
	if a.Outcome == string(call.OutcomeNotRun) || a.Outcome == string(call.OutcomeDone) {
		return false
	}
	switch a.Verdict {
	case TimedOut, Broken, Truncated:
		return true
	case Refused:
		return a.Status >= http.StatusInternalServerError
	default:
		return false
	}
}

// identify obtains the operation id; it returns the failed attempt if there is none.
func (c *rootCall) identify(ctx context.Context) *Attempt {
	switch c.route.Kind {
	case OwnKey:
		id, err := uuid.NewV7()
		if err != nil {
			return &Attempt{Verdict: NotIssued, Reason: "uuid"}
		}
		c.id = id.String()
		return nil
	case Issued:
		begin := time.Now()
		defer func() { c.issueTime = time.Since(begin) }()
		var last Attempt
		for number := 0; number <= c.load.settings.Retries; number++ {
			last = c.issue(ctx, c.load.entry(c, number))
			if c.id != "" {
				return nil
			}
		}
		last.Verdict = NotIssued
		return &last
	default:
		return nil
	}
}

func (c *rootCall) issue(ctx context.Context, entry string) Attempt {
	path := IssuePath + "?route=" + url.QueryEscape(c.route.prefix())
	a, body := c.exchange(ctx, entry, http.MethodPost, path, "", nil)
	if a.Verdict != Complete && a.Status != http.StatusCreated {
		return a
	}
	var reply struct {
		ID string `json:"id"`
	}
	if err := json.Unmarshal(body, &reply); err != nil || reply.ID == "" {
		a.Reason = "issueReplyMalformed"
		return a
	}
	c.id = reply.ID
	return a
}

func (c *rootCall) attempt(ctx context.Context, entry string) Attempt {
	path := c.route.Path + "?" + target.TokenParameter + "=" + url.QueryEscape(c.token)
	body := ""
	if c.route.Method != http.MethodGet {
		body = "request " + c.token
	}
	header := map[string]string{}
	switch c.route.Kind {
	case Issued:
		header[target.OperationIDHeader] = c.id
	case OwnKey:
		header[IdempotencyKeyHeader] = c.id
	}
	a, data := c.exchange(ctx, entry, c.route.Method, path, body, header)
	if a.Verdict != Complete {
		return a
	}
	answer, err := target.ParseAnswer(data)
	if err == nil {
		err = answer.Verify(c.route.Method, path, c.token, []byte(body))
	}
	if err != nil {
		a.Verdict = Wrong
		c.load.noteMistake(fmt.Sprintf("%s at %s: %v", c.token, entry, err))
	}
	return a
}

// exchange sends one request and reads the response; the verdict Complete means status 200 and a whole body.
func (c *rootCall) exchange(
	ctx context.Context, entry, method, path, body string, header map[string]string,
) (Attempt, []byte) {
	s := c.load.settings
	ctx, cancel := context.WithTimeout(ctx, time.Duration(s.TimeoutMs)*time.Millisecond)
	defer cancel()
	a := Attempt{Entry: entry, Sent: time.Now()}
	request, err := http.NewRequestWithContext(ctx, method, "http://"+entry+path, strings.NewReader(body))
	if err != nil {
		a.Verdict = Broken
		return a, nil
	}
	if body != "" {
		// Without GetBody net/http never repeats the request by itself, so that the attempts are all recorded.
		request.GetBody = nil
	}
	request.Header.Set(target.TimeoutHeader, strconv.FormatInt(s.TimeoutMs, 10))
	if !c.route.Open {
		request.Header.Set(KeyHeader, "Bearer "+c.account.Key)
	}
	for name, value := range header {
		request.Header.Set(name, value)
	}
	delay := time.Duration(s.ClientDelayMs * float64(time.Millisecond))
	if !wait(ctx, delay) {
		a.Verdict = TimedOut
		return a, nil
	}
	data := c.receive(request, &a)
	if !wait(ctx, delay) {
		return Attempt{Entry: entry, Verdict: TimedOut, Sent: a.Sent}, nil
	}
	return a, data
}

func (c *rootCall) receive(request *http.Request, a *Attempt) []byte {
	response, err := c.load.client.Do(request)
	if err != nil {
		a.Verdict = transportVerdict(err)
		return nil
	}
	defer response.Body.Close()
	a.Status = response.StatusCode
	a.Reason = response.Header.Get(target.ReasonHeader)
	data, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	if err != nil {
		a.Verdict = transportVerdict(err)
		if a.Verdict == Broken {
			a.Verdict = Truncated
		}
		return nil
	}
	// The outcome counts as told only with a whole response.
	a.Outcome = response.Header.Get(OutcomeHeader)
	a.Verdict = Complete
	if response.StatusCode != http.StatusOK {
		a.Verdict = Refused
		if a.Reason == "" {
			a.Reason = "status" + strconv.Itoa(response.StatusCode)
		}
	}
	return data
}

func transportVerdict(err error) Verdict {
	var network net.Error
	if errors.Is(err, context.DeadlineExceeded) || (errors.As(err, &network) && network.Timeout()) {
		return TimedOut
	}
	return Broken
}
