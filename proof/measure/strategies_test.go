package measure

import (
	"flag"
	"time"

	"github.com/apricotmount/apricotmount/proof/model"
	"github.com/apricotmount/apricotmount/routing"
)

var (
	measureFlag = flag.Bool("measure", false, "run the measurements")
	seedsFlag   = flag.Int("seeds", 1, "number of seeds that each case runs with")
)

// The strategies that are measured, baselines first.
var (
	random             = model.Strategy{Name: "random", Chooser: func() routing.Chooser { return routing.Random{} }}
	roundRobin         = model.Strategy{Name: "round robin", Chooser: func() routing.Chooser { return &routing.RoundRobin{} }}
	leastOwnAttempts   = model.Strategy{Name: "least own in-flight", Chooser: func() routing.Chooser { return routing.LeastOwnAttempts{} }}
	twoChoicesQueueing = model.Strategy{Name: "two choices, answers' load, targets queue", Chooser: func() routing.Chooser { return routing.TwoChoices{} }}
	leastLoadQueueing  = model.Strategy{Name: "least load, answers' load, targets queue", Chooser: func() routing.Chooser { return routing.LeastLoad{} }}
	twoChoicesShedding = model.Strategy{Name: "two choices, answers' load, full target sheds", RefusesWhenFull: true, Chooser: func() routing.Chooser { return routing.TwoChoices{} }}
	leastLoadShedding  = model.Strategy{Name: "least load, answers' load, full target sheds", RefusesWhenFull: true, Chooser: func() routing.Chooser { return routing.LeastLoad{} }}
	exact              = model.Strategy{Name: "exact", UsesActualLoad: true, Chooser: func() routing.Chooser { return routing.Oracle{} }}
	product            = model.Strategy{Name: "the product: least load, sheds, hedges", RefusesWhenFull: true, Hedges: true, Chooser: func() routing.Chooser { return routing.LeastLoad{} }}
	twoChoicesHedging  = model.Strategy{Name: "two choices, sheds, hedges", RefusesWhenFull: true, Hedges: true, Chooser: func() routing.Chooser { return routing.TwoChoices{} }}
)

// warmUpTime is the load time before the recorder is reset, and measuredLoadTime the
// load time that is measured.
const (
	warmUpTime       = 2 * time.Second
	measuredLoadTime = 20 * time.Second
)
