/**
 * Takes SIGHUP before anything else is loaded: imported first, so that it's evaluated first. Without a handler the signal
 * ends the process, and loading the libraries takes a quarter of a second on a fast machine, several times that on a slow
 * one, in which a change of the settings file would end an entry that has just been started. What is left is the start of
 * Node.js itself. The settings are read after this, so that a signal that came earlier needs no reload.
 */
import process from 'node:process';

process.on('SIGHUP', () => {
	// The daemon adds its own listener once it can reload.
});
