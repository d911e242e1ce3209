// Command baobabd is part of baobabfield.
package main

func main() {}
