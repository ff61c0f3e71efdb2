package sqledger

import "github.com/sequoiatack/sequoiatack/internal/base/squnit"

func sqRate(v float64) squnit.Rate     { return squnit.Rate(v) }
func sqTokens(v float64) squnit.Tokens { return squnit.Tokens(v) }
