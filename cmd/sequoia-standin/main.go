// Command sequoia-standin has the stand-ins that sequoiatack is tested with:
// the platform, targets, a load tool and a demo.
package main

func main() {}
