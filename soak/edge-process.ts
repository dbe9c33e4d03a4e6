/** Runs one entry of a soak, with the relays in front of it, across restarts. */
import {spawn, type ChildProcess} from 'node:child_process';
import {once} from 'node:events';
import {createWriteStream, type WriteStream, writeFileSync} from 'node:fs';
import {join, resolve} from 'node:path';
import process from 'node:process';
import {createInterface} from 'node:readline';
import {fileURLToPath} from 'node:url';
import {formatEdgeSettings} from '../standins/format-edge-settings.js';
import {FaultProxy} from '../standins/fault-proxy.js';
import type {SharedRuns} from './shared-runs.js';

const main = fileURLToPath(new URL('stepped-edge.js', import.meta.url));
const heapMegabytes = 96;
/**
 * Node.js can't handle signals while it starts, which takes tens of milliseconds and more on a busy machine, so a termination by SIGHUP
 * within this time is no defect.
 */
const startupMilliseconds = 1000;
const defectEvent = /"event":"(?:errorUnhandled|peerMessageUnreadable|poolMessageUnreadable)"/v;

/** A bundle of the edge daemon, and its scheduling file; empty for none. */
type EdgeProgram = {readonly bundle: string; readonly scheduling: string};

/** Identity of an entry and the services it uses. */
type EdgeProcessOptions = {
	readonly instance: string;
	readonly zone: string;
	readonly address: string;
	readonly storeAddress: string;
	readonly folder: string;
	readonly profileFolder: string | undefined;
	/** What the entry runs at first. */
	readonly former: EdgeProgram;
	/** What the entry runs from its first restart on. */
	readonly present: EdgeProgram;
	readonly sharedRuns: SharedRuns;
	/** Called for each unexpected exit (`exits`) and each unhandled error or undecodable message (`defects`). */
	readonly onDefect: (kind: 'exits' | 'defects', detail: string) => void;
};

/** Connections from peers and to the store go through relays; callers connect to the process directly. */
export class EdgeProcess {
	/** Number of starts so far. */
	incarnation = 0;
	readonly peers = new FaultProxy(true, false);
	readonly store = new FaultProxy(false, false);
	#child: ChildProcess | undefined;
	#isTerminating = false;
	/** Whether the current process has written a line, which shows that its signal handlers are installed. */
	#hasLogged = false;
	#front = '';
	#ready = '';
	#advertisedPeerAddress = '';
	readonly #log: WriteStream;
	/** Read by the process as it continues. */
	readonly #suspensionFile: string;
	#suspendedAt: number | undefined;

	constructor(readonly options: EdgeProcessOptions) {
		this.#suspensionFile = resolve(options.folder, `${options.instance}.suspension`);
		this.#log = createWriteStream(join(options.folder, `${options.instance}.log`));
	}

	get instance(): string {
		return this.options.instance;
	}

	/** `IP:port` of the interface for callers. */
	get front(): string {
		return this.#front;
	}

	/** `IP:port` of the readiness endpoint. */
	get ready(): string {
		return this.#ready;
	}

	get isRunning(): boolean {
		return this.#child !== undefined && !this.#isTerminating;
	}

	/** `IP:port` of the relay that peers connect to. */
	get advertisedPeerAddress(): string {
		return this.#advertisedPeerAddress;
	}

	/** Opens the relays; returns the address that peers connect to. */
	async openRelays(): Promise<string> {
		this.store.forwardTo(this.options.storeAddress);
		await this.store.listen();
		this.#advertisedPeerAddress = await this.peers.listen();
		return this.#advertisedPeerAddress;
	}

	/** Starts a new process. `seeds` are the peer addresses that it joins through. */
	async start(seeds: readonly string[]): Promise<void> {
		const {instance, zone, address, folder, profileFolder, former, present} = this.options;
		const settings = formatEdgeSettings({
			instance, zone, address, storeAddress: await this.store.listen(), seeds,
		});
		const file = join(folder, `${instance}.conf`);
		writeFileSync(file, settings.text);
		this.#front = settings.front;
		this.#ready = settings.ready;
		this.peers.forwardTo(settings.control);
		await this.peers.listen();
		this.incarnation += 1;
		const {bundle, scheduling} = this.incarnation === 1 ? former : present;
		this.#isTerminating = false;
		this.#hasLogged = false;
		this.#suspendedAt = undefined;
		const environment = Object.fromEntries([...Object.entries(process.env), ['SAVORYLOCK_SETTINGS', file]]);
		const profiling = profileFolder === undefined ? [] : ['--cpu-prof', `--cpu-prof-dir=${profileFolder}`];
		const edgeArguments = [resolve(bundle), this.#suspensionFile, '9464', '--advertised-peers', this.#advertisedPeerAddress];
		const schedulingArguments = scheduling === '' ? [] : ['--scheduling', resolve(scheduling)];
		const child = spawn(process.execPath, [`--max-old-space-size=${heapMegabytes}`, ...profiling, main, ...edgeArguments, ...schedulingArguments], {
			stdio: ['ignore', 'pipe', 'pipe'], env: environment,
		});
		this.#child = child;
		this.#monitor(child, this.incarnation);
	}

	/** Signals the process, waits for its exit and closes the relays. */
	async terminate(signal: 'SIGTERM' | 'SIGKILL'): Promise<void> {
		const child = this.#child;
		if (child === undefined) {
			return;
		}

		this.#isTerminating = true;
		const exited = once(child, 'exit');
		child.kill(signal);
		await exited;
		this.peers.close();
		this.store.close();
		this.#child = undefined;
	}

	/** Sends a signal, if the process is running. */
	signal(signal: 'SIGSTOP' | 'SIGCONT' | 'SIGHUP'): void {
		this.#child?.kill(signal);
	}

	/** Stops the process until `resume`. Its monotonic clock and its timers exclude that time; its system time doesn't. */
	suspend(): void {
		this.#suspendedAt ??= Date.now();
		this.signal('SIGSTOP');
	}

	/** Ends a suspension. */
	resume(): void {
		if (this.#suspendedAt !== undefined) {
			writeFileSync(this.#suspensionFile, `${this.#suspendedAt} ${Date.now()}`);
			this.#suspendedAt = undefined;
		}

		this.signal('SIGCONT');
	}

	get isSuspended(): boolean {
		return this.#suspendedAt !== undefined;
	}

	/**
	 * Steps the system time of the process by SIGUSR2. Does nothing before its first line of output, since the signal would
	 * terminate a process that has no handler yet.
	 */
	stepClock(): void {
		if (this.#hasLogged) {
			this.#child?.kill('SIGUSR2');
		}
	}

	#monitor(child: ChildProcess, incarnation: number): void {
		const {onDefect, instance, former, present, sharedRuns} = this.options;
		const isFormer = incarnation === 1 && former !== present;
		for (const output of [child.stdout!, child.stderr!]) {
			createInterface({input: output}).on('line', line => {
				this.#log.write(`${line}\n`);
				this.#hasLogged ||= child === this.#child;
				sharedRuns.observe(instance, isFormer, line);
				if (defectEvent.test(line)) {
					onDefect('defects', `${instance}: ${line}`);
				}
			});
		}

		const startedAt = performance.now();
		child.on('exit', (code, signal) => {
			if (child !== this.#child || this.#isTerminating) {
				return;
			}

			this.#child = undefined;
			if (signal !== 'SIGHUP' || performance.now() - startedAt > startupMilliseconds) {
				onDefect('exits', `${instance}, incarnation ${incarnation}, exited unexpectedly: ${String(code ?? signal)}`);
			}

			// The platform restarts processes that exit.
			void this.start([]);
		});
	}
}
