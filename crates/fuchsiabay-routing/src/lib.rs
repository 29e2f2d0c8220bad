//! Choice of a backend server, retry budgets and quarantine.
