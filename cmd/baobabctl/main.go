// Command baobabctl is part of baobabfield.
package main

func main() {}
