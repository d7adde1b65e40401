package event

// Events of the configuration.
var (
	ConfigurationAdopted  = declare(2001, "ConfigurationAdopted", Info, "A configuration with a higher revision is in force.")
	ConfigurationRejected = declare(2002, "ConfigurationRejected", Error, "A record does not decode or check; the last good configuration stays in force.")
	ConfigurationOlder    = declare(2003, "ConfigurationOlder", Warning, "A source offered a lower revision than the one in force; it is ignored.")
	ConfigurationWatching = declare(2004, "ConfigurationWatching", Info, "This instance holds the store watch for its availability zone.")
	ConfigurationDiffers  = declare(2005, "ConfigurationDiffers", Error, "A source offered the active revision with other content; it is ignored.")
)
