package dispatch_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"coltsfootusher.example/core/call"
	"coltsfootusher.example/core/dispatch"
	"coltsfootusher.example/core/route"
)

// BenchmarkCodec measures the context and the reply of one call.
func BenchmarkCodec(b *testing.B) {
	context := dispatch.Context{
		RequestID: "0f8fad5b-d9cb-469f-a165-70867728950e", Sender: 11400714819323198485, Target: "voids-d1-7", Service: "voids",
		Route: "/voidlist/", Class: route.Lookup, Account: "a1", Caller: "riders", Priority: 2, TimeoutMs: 29_998,
	}
	reply := dispatch.Reply{Run: call.WasRun, TargetMs: 5.117, Load: call.Load{Running: 3, Limit: 8, WaitMs: 2}}
	b.Run("encode", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			_, contextErr := dispatch.Encode(context)
			_, replyErr := dispatch.Encode(reply)
			if contextErr != nil || replyErr != nil {
				b.Fatal(contextErr, replyErr)
			}
		}
	})
	b.Run("decode", func(b *testing.B) {
		encodedContext, err := dispatch.Encode(context)
		assert.NilError(b, err)
		encodedReply, err := dispatch.Encode(reply)
		assert.NilError(b, err)
		b.ReportAllocs()
		for b.Loop() {
			_, contextErr := dispatch.Decode[dispatch.Context](encodedContext)
			_, replyErr := dispatch.Decode[dispatch.Reply](encodedReply)
			if contextErr != nil || replyErr != nil {
				b.Fatal(contextErr, replyErr)
			}
		}
	})
}
