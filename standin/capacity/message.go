package capacity

import (
	"bytes"
	"fmt"
	"net/http"
	"net/http/httputil"
	"time"

	"google.golang.org/protobuf/proto"

	"coltsfootusher.example/core/config"
	"coltsfootusher.example/core/fleet"
	"coltsfootusher.example/peer/auth"
	"coltsfootusher.example/peer/peerpb"
)

// messages measures one exchange of Sync without news but with the given number of notices: its bytes as HTTP/1.1 with
// the signature, and the processor time of encoding, signing, verifying and decoding, without that of HTTP.
func (r *run) messages() error {
	secret := []byte("public-secret-of-the-measurement")
	now := time.Now()
	signer, err := auth.New("vm-1", secret, time.Minute, func() time.Time { return now })
	if err != nil {
		return err
	}
	for _, size := range r.sizes(2, 20, 200) {
		request, reply := syncMessages(size)
		var failure error
		exchange := func() {
			now = now.Add(time.Millisecond)
			if err := exchangeSync(signer, request, reply); err != nil {
				failure = err
			}
		}
		total, err := syncBytes(signer, request, reply)
		if err != nil {
			return err
		}
		r.record("sync", size, "exchangeBytes", float64(total))
		r.record("sync", size, "exchangeCpuMicros", r.cpuMicros(exchange))
		if failure != nil {
			return failure
		}
	}
	r.slope("sync", "exchangeBytes", "Notice")
	r.slope("sync", "exchangeCpuMicros", "Notice")
	return nil
}

func syncMessages(notices int) (*peerpb.SyncRequest, *peerpb.SyncReply) {
	var versions []*peerpb.SectionVersion
	for i, name := range fleet.SectionNames() {
		versions = append(versions, &peerpb.SectionVersion{Name: string(name), Version: int64(100_000 + i), AgeMs: 5000})
	}
	reply := &peerpb.SyncReply{Node: "vm-1", Incarnation: 1 << 60, Versions: versions, Cursor: 1000}
	for i := range notices {
		reply.Notices = append(reply.Notices, &peerpb.Notice{Node: fmt.Sprintf("vm-%d", i), Incarnation: 1 << 60, Leaving: true})
	}
	request := &peerpb.SyncRequest{Node: "vm-1", Incarnation: 1 << 60, Versions: versions, WaitMs: 10_000, Cursor: 1000}
	return request, reply
}

// syncBytes returns the bytes of the request and of the response.
func syncBytes(signer *auth.Signer, request *peerpb.SyncRequest, reply *peerpb.SyncReply) (int, error) {
	sent, err := signedSync(signer, request)
	if err != nil {
		return 0, err
	}
	dumped, err := httputil.DumpRequestOut(sent, true)
	if err != nil {
		return 0, err
	}
	size := proto.Size(reply)
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\nContent-Type: application/protobuf\r\n"+
		"Date: Fri, 04 Dec 2026 02:11:22 GMT\r\n\r\n", size)
	return len(dumped) + len(head) + size, nil
}

func signedSync(signer *auth.Signer, request *peerpb.SyncRequest) (*http.Request, error) {
	body, err := proto.Marshal(request)
	if err != nil {
		return nil, err
	}
	url := "http://10.0.0.1:7000" + peerpb.ControlPathPrefix + "Sync"
	sent, err := http.NewRequest(http.MethodPost, url, bytes.NewReader(body)) //nolint:noctx // never sent
	if err != nil {
		return nil, err
	}
	sent.Header.Set("Content-Type", "application/protobuf")
	sent.Header.Set("Accept", "application/protobuf")
	sent.Header.Set("Twirp-Version", "v8.1.3")
	return sent, signer.Sign(sent, "vm-1", body)
}

func exchangeSync(signer *auth.Signer, request *peerpb.SyncRequest, reply *peerpb.SyncReply) error {
	sent, err := signedSync(signer, request)
	if err != nil {
		return err
	}
	_, body, err := signer.Verify(sent, config.MaxValueBytes)
	if err != nil {
		return err
	}
	if err := proto.Unmarshal(body, &peerpb.SyncRequest{}); err != nil {
		return err
	}
	answer, err := proto.Marshal(reply)
	if err != nil {
		return err
	}
	return proto.Unmarshal(answer, &peerpb.SyncReply{})
}
