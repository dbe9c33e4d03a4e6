/** One entry of a soak: its process, life after life, and the relays around it. */
import {spawn, type ChildProcess} from 'node:child_process';
import {once} from 'node:events';
import {createWriteStream, type WriteStream, writeFileSync} from 'node:fs';
import {join} from 'node:path';
import process from 'node:process';
import {createInterface} from 'node:readline';
import {fileURLToPath} from 'node:url';
import {edgeSettings} from '../standins/edge-settings.js';
import {Relay} from '../standins/relay.js';

const main = fileURLToPath(new URL('stepped-edge.js', import.meta.url));
const heapMegabytes = 96;
/**
 * Node.js itself can't take a signal while it starts, which takes tens of milliseconds, and more on a busy machine: an end by
 * SIGHUP within this time is no defect.
 */
const bootMilliseconds = 1000;
const defectEvent = '"event":"errorUnhandled"';

/** Where an entry lives, and what it needs from around it. */
type EdgeProcessOptions = {
	readonly instance: string;
	readonly zone: string;
	readonly address: string;
	readonly storeAddress: string;
	readonly folder: string;
	readonly profileFolder: string | undefined;
	/** Told of a process that ended though nobody ended it, and of errors that reached its top. */
	readonly onDefect: (kind: 'exits' | 'defects', detail: string) => void;
};

/** Its peers and its way to the store go through relays; callers and the balancer reach it directly. */
export class EdgeProcess {
	incarnation = 0;
	readonly peers = new Relay(true, false);
	readonly store = new Relay(false, false);
	#child: ChildProcess | undefined;
	#isEnding = false;
	/** Whether this life has written anything. */
	#hasLogged = false;
	#front = '';
	#ready = '';
	#advertisedPeerAddress = '';
	readonly #log: WriteStream;

	constructor(readonly options: EdgeProcessOptions) {
		this.#log = createWriteStream(join(options.folder, `${options.instance}.log`));
	}

	get instance(): string {
		return this.options.instance;
	}

	get front(): string {
		return this.#front;
	}

	get ready(): string {
		return this.#ready;
	}

	get isRunning(): boolean {
		return this.#child !== undefined && !this.#isEnding;
	}

	/** Where peers reach this entry. */
	get advertisedPeerAddress(): string {
		return this.#advertisedPeerAddress;
	}

	/** Opens the relays; returns where peers reach this entry. */
	async openRelays(): Promise<string> {
		this.store.leadTo(this.options.storeAddress);
		await this.store.listen();
		this.#advertisedPeerAddress = await this.peers.listen();
		return this.#advertisedPeerAddress;
	}

	/** Begins a new life. */
	async start(seeds: readonly string[]): Promise<void> {
		const {instance, zone, address, folder, profileFolder} = this.options;
		const settings = edgeSettings({
			instance, zone, address, storeAddress: await this.store.listen(), seeds,
		});
		const file = join(folder, `${instance}.conf`);
		writeFileSync(file, settings.text);
		this.#front = settings.front;
		this.#ready = settings.ready;
		this.peers.leadTo(settings.control);
		await this.peers.listen();
		this.incarnation += 1;
		this.#isEnding = false;
		this.#hasLogged = false;
		const environment = Object.fromEntries([...Object.entries(process.env), ['SAVORYLOCK_SETTINGS', file]]);
		const profiling = profileFolder === undefined ? [] : ['--cpu-prof', `--cpu-prof-dir=${profileFolder}`];
		const child = spawn(process.execPath, [`--max-old-space-size=${heapMegabytes}`, ...profiling, main, '9464', '--advertised-peers', this.#advertisedPeerAddress], {
			stdio: ['ignore', 'pipe', 'pipe'], env: environment,
		});
		this.#child = child;
		this.#follow(child, this.incarnation);
	}

	/** SIGTERM ends it by itself; after SIGKILL its peers are refused at once. */
	async terminate(signal: 'SIGTERM' | 'SIGKILL'): Promise<void> {
		const child = this.#child;
		if (child === undefined) {
			return;
		}

		this.#isEnding = true;
		const ended = once(child, 'exit');
		child.kill(signal);
		await ended;
		this.peers.close();
		this.store.close();
		this.#child = undefined;
	}

	/** Stops, resumes or tells the process something. */
	signal(signal: 'SIGSTOP' | 'SIGCONT' | 'SIGHUP'): void {
		this.#child?.kill(signal);
	}

	/**
	 * Has the time of day jump. The signal for it is the soak's own, and ends a process that can't take it yet: sent 92 ms after
	 * a start it looked like an entry that ended by itself. An entry that has written a line takes it; before, nothing jumps.
	 */
	stepClock(): void {
		if (this.#hasLogged) {
			this.#child?.kill('SIGUSR2');
		}
	}

	#follow(child: ChildProcess, life: number): void {
		const {onDefect, instance} = this.options;
		for (const output of [child.stdout!, child.stderr!]) {
			createInterface({input: output}).on('line', line => {
				this.#log.write(`${line}\n`);
				this.#hasLogged ||= child === this.#child;
				if (line.includes(defectEvent)) {
					onDefect('defects', `${instance}: ${line}`);
				}
			});
		}

		const startedAt = performance.now();
		child.on('exit', (code, signal) => {
			if (child !== this.#child || this.#isEnding) {
				return;
			}

			this.#child = undefined;
			if (signal !== 'SIGHUP' || performance.now() - startedAt > bootMilliseconds) {
				onDefect('exits', `${instance}, life ${life}, ended by itself: ${String(code ?? signal)}`);
			}

			// The platform starts again what ended.
			void this.start([]);
		});
	}
}
