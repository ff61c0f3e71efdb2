// Command sequoiatack is the overload control daemon and its operators' tool.
package main

func main() {}
