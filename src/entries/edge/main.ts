#!/usr/bin/env node
/**
 * The edge daemon, `savorylock-edge [METRICS-PORT] [--advertised-peers IP:PORT] [--scheduling FILE]`. Exit codes: 0 stopped,
 * 2 invalid settings. Peers connect to the advertised address if one is given (as behind a relay), otherwise to the listening
 * address. Without a scheduling file no part of it is enabled.
 */
import './early-signals.js';
import {readFileSync} from 'node:fs';
import process from 'node:process';
import {parseArgs} from 'node:util';
import type {BootSettings} from '../../../platform/boot-settings.js';
import {readBootSettings} from '../../../platform/read-boot-settings.js';
import type {SchedulingSettings} from '../../features/dispatch/scheduling-settings.js';
import {schedulingSettingsSchema} from '../../features/dispatch/scheduling-settings-schema.js';
import {SystemClock} from '../../base/system-clock.js';
import {CountingJournal} from '../../runtime/journal/counting-journal.js';
import {JsonLinesJournal} from '../../runtime/journal/json-lines-journal.js';
import {TextMetrics} from '../../runtime/metrics/text-metrics.js';
import {formatProblem} from '../../runtime/settings/format-problem.js';
import {parseDocument} from '../../runtime/settings/parse-document.js';
import {EdgeDaemon} from './edge-daemon.js';

const exitSettings = 2;
const defaultMetricsPort = 9464;
const settingsVariable = 'SAVORYLOCK_SETTINGS';

const clock = new SystemClock();
const metrics = new TextMetrics();
const lines = new JsonLinesJournal(clock, true);
const journal = new CountingJournal(lines, metrics);
const file = process.env[settingsVariable] ?? '';
const settings = readSettings();
const {positionals, values} = parseArgs({allowPositionals: true, options: {'advertised-peers': {type: 'string'}, scheduling: {type: 'string'}}});
const daemon = new EdgeDaemon({
	settings, scheduling: readScheduling(values.scheduling), advertisedPeers: values['advertised-peers'], clock, journal, metrics,
});

// Keeps the process alive: an unhandled error affects one request or task, exiting would fail all of them.
process.on('uncaughtException', error => {
	journal.record('errorUnhandled', {detail: error.stack ?? error.message});
});
process.on('unhandledRejection', error => {
	journal.record('errorUnhandled', {detail: error instanceof Error ? error.stack : String(error)});
});
process.on('SIGHUP', () => {
	reload();
});
process.once('SIGTERM', async () => {
	await daemon.stop();
	await lines.flush();
	process.exit(0);
});
await daemon.start(metricsPort());

/** The first argument, or the default port. */
function metricsPort(): number {
	return Number(positionals[0] ?? defaultMetricsPort);
}

function readSettings(): BootSettings {
	try {
		return readBootSettings(readFileSync(file, 'utf8'));
	} catch (error) {
		process.stderr.write(`savorylock-edge: ${settingsVariable}=${file}: ${(error as Error).message}\n`);
		process.exit(exitSettings);
	}
}

/** Reads the scheduling file, or returns the defaults without one. */
function readScheduling(path: string | undefined): SchedulingSettings {
	if (path === undefined) {
		return schedulingSettingsSchema.parse({});
	}

	const checked = parseDocument(readText(path), schedulingSettingsSchema);
	if (checked.kind === 'valid') {
		return checked.value;
	}

	for (const problem of checked.problems) {
		process.stderr.write(`savorylock-edge: ${formatProblem(path, problem)}\n`);
	}

	process.exit(exitSettings);
}

function readText(path: string): string {
	try {
		return readFileSync(path, 'utf8');
	} catch (error) {
		process.stderr.write(`savorylock-edge: ${path}: ${(error as Error).message}\n`);
		process.exit(exitSettings);
	}
}

/** Validates the settings file and logs the result. No setting is applied before the next start. */
function reload(): void {
	try {
		readBootSettings(readFileSync(file, 'utf8'));
		journal.record('settingsReloaded', {outcome: 'valid', detail: 'in force from the next start'});
	} catch (error) {
		journal.record('settingsReloaded', {outcome: 'invalid', detail: (error as Error).message});
	}
}
