/**
 * Installs a SIGHUP handler before any other module is evaluated, so it must be the first import. The signal terminates a
 * process without a handler, and a settings change can send it while the libraries are still loading. The settings are read
 * later, so a signal that arrives before then needs no reload.
 */
import process from 'node:process';

process.on('SIGHUP', () => {
	// The main module adds the listener that reloads the settings.
});
