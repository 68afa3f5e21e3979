package localtarget

import (
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a target that counts as crashed because one of its connections broke, and against a crash that is not noticed
// because requests on new connections are answered. Load: three requests at once.
func TestLossOfAllConnectionsIsTold(t *testing.T) {
	type end struct{ survived, lost bool }
	answeredOnOld, answeredOnNew, lost := end{survived: true}, end{}, end{lost: true}
	for name, c := range map[string]struct {
		ends []end
		want bool
	}{
		"none lost":                  {[]end{answeredOnOld, answeredOnNew, answeredOnOld}, false},
		"one lost, others answered":  {[]end{lost, answeredOnOld, answeredOnNew}, false},
		"all lost":                   {[]end{lost, lost, lost}, true},
		"one on a new connection":    {[]end{lost, answeredOnNew, lost}, true},
		"the last one, others ended": {[]end{answeredOnOld, answeredOnOld, lost}, true},
	} {
		t.Run(name, func(t *testing.T) {
			var w connectionWatch
			var generations []uint64
			for range c.ends {
				generations = append(generations, w.begin())
			}
			told := false
			for i, e := range c.ends {
				told = w.end(generations[i], e.survived, e.lost)
			}
			assert.Equal(t, told, c.want)
			assert.Assert(t, !w.any())
		})
	}
}
