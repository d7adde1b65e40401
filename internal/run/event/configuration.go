package event

// Events of the configuration.
var (
	ConfigurationAdopted  = declare(2001, "ConfigurationAdopted", Info, "A configuration with a higher revision was adopted and is in force.")
	ConfigurationRejected = declare(2002, "ConfigurationRejected", Error, "A configuration cannot be decoded or is invalid; the last valid configuration stays in force.")
	ConfigurationOlder    = declare(2003, "ConfigurationOlder", Warning, "A source offered a configuration older than the one in force; it is ignored.")
	ConfigurationWatching = declare(2004, "ConfigurationWatching", Info, "This instance watches the store on behalf of its availability zone.")
	ConfigurationDiffers  = declare(2005, "ConfigurationDiffers", Error, "A source offered the revision in force with different content; it is ignored.")

	ConfigurationUnconfirmed = declare(2006, "ConfigurationUnconfirmed", Warning, "The configuration in force was not compared with the stored one for most of the time within which a change must be in force.")
)
