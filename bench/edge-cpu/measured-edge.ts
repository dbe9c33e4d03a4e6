/** An edge daemon as a child process, with the options of `deploy/system.toml`. */
import {spawn, type ChildProcess} from 'node:child_process';
import {once} from 'node:events';
import {openSync, readFileSync, writeFileSync} from 'node:fs';
import {join} from 'node:path';
import process from 'node:process';
import {request} from 'undici';
import {formatEdgeSettings} from '../../standins/format-edge-settings.js';

const metricsPort = 9464;
const deployment = 'deploy/system.toml';

type MeasuredEdgeOptions = {
	readonly name: string;
	readonly zone: string;
	readonly address: string;
	readonly storeAddress: string;
	readonly seeds: readonly string[];
	/** Folder of settings file, log and profile. */
	readonly folder: string;
	readonly bundle: string;
	/** Options of V8; those of the deployment if undefined. */
	readonly flags: readonly string[] | undefined;
	readonly isProfiled: boolean;
};

/** Connects to peers and to the store directly, without relays. */
export class MeasuredEdge {
	readonly #settings: ReturnType<typeof formatEdgeSettings>;
	readonly #child: ChildProcess;

	constructor({name, zone, address, storeAddress, seeds, folder, bundle, flags, isProfiled}: MeasuredEdgeOptions) {
		this.#settings = formatEdgeSettings({
			instance: name, zone, address, storeAddress, seeds,
		});
		const file = join(folder, `${name}.conf`);
		writeFileSync(file, this.#settings.text);
		const profiling = isProfiled ? ['--cpu-prof', `--cpu-prof-dir=${folder}`, `--cpu-prof-name=${name}.cpuprofile`] : [];
		const environment = Object.fromEntries([...Object.entries(process.env), ['SAVORYLOCK_SETTINGS', file]]);
		const log = openSync(join(folder, `${name}.log`), 'w');
		this.#child = spawn(process.execPath, [...(flags ?? deployedFlags()), ...profiling, bundle, String(metricsPort), '--scheduling', 'deploy/scheduling.toml'], {
			stdio: ['ignore', log, log], env: environment,
		});
	}

	get pid(): number {
		return this.#child.pid!;
	}

	/** `IP:port` of the interface for callers. */
	get front(): string {
		return this.#settings.front;
	}

	/** `IP:port` of the interface for peers. */
	get control(): string {
		return this.#settings.control;
	}

	async isReady(): Promise<boolean> {
		try {
			const response = await request(`http://${this.#settings.ready}/readyz`);
			await response.body.dump();
			return response.statusCode === 200;
		} catch {
			// Not listening yet.
			return false;
		}
	}

	/** Ends the process; gracefully, so that it writes its profile. */
	async stop(): Promise<void> {
		if (this.#child.exitCode !== null || this.#child.signalCode !== null) {
			return;
		}

		const exited = once(this.#child, 'exit');
		this.#child.kill('SIGTERM');
		await exited;
	}
}

/** The options between `node` and the bundle in the command of the entries' role. */
function deployedFlags(): readonly string[] {
	const command = /^run = "node (?<flags>[^"]*?) ?target\//mv.exec(readFileSync(deployment, 'utf8'));
	return command!.groups!.flags!.split(' ').filter(flag => flag !== '');
}
