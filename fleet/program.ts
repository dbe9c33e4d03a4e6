/** Runs a program of this project as a child process. */
import {spawn, type ChildProcess} from 'node:child_process';
import {once} from 'node:events';
import process from 'node:process';
import {createInterface} from 'node:readline';
import {fileURLToPath} from 'node:url';
import {z} from 'zod';

const startLimitMilliseconds = 20_000;

const listeningSchema = z.object({
	listening: z.object({
		httpPort: z.int().optional(),
		httpPorts: z.array(z.int()).optional(),
		peerPort: z.int().optional(),
	}),
});
type Ports = z.output<typeof listeningSchema>['listening'];

/** A child process that has reported the ports it listens on. */
export class Program {
	/**
	 * Starts a compiled main module and waits until it reports its ports.
	 * @throws {TypeError} If the process exits first, or reports nothing within 20 s.
	 */
	static async start(main: string, parameters: readonly string[], environment: Readonly<Record<string, string>> = {}): Promise<Program> {
		const file = fileURLToPath(new URL(`../${main}`, import.meta.url));
		const child = spawn(process.execPath, [file, ...parameters], {stdio: ['ignore', 'pipe', 'pipe'], env: {...process.env, ...environment}});
		const lines: string[] = [];
		createInterface({input: child.stderr}).on('line', line => {
			lines.push(line);
		});
		const output = createInterface({input: child.stdout});
		const timer = setTimeout(() => {
			child.kill('SIGKILL');
		}, startLimitMilliseconds);
		const [line] = await Promise.race([once(output, 'line'), once(child, 'exit')]) as [unknown];
		clearTimeout(timer);
		child.stdout.resume();
		if (typeof line !== 'string') {
			throw new TypeError(`${main} did not report its ports: ${lines.join('\n')}`);
		}

		return new Program(child, listeningSchema.parse(JSON.parse(line)).listening, lines);
	}

	private constructor(private readonly child: ChildProcess, readonly ports: Ports, private readonly lines: string[]) {}

	get pid(): number {
		return this.child.pid!;
	}

	/** Lines written to standard error so far. */
	get log(): readonly string[] {
		return this.lines;
	}

	get hasExited(): boolean {
		return this.child.exitCode !== null || this.child.signalCode !== null;
	}

	/** Sends a signal and waits for the process to exit. Returns the exit code, or `undefined` if a signal ended it. */
	async terminate(signal: 'SIGTERM' | 'SIGKILL'): Promise<number | undefined> {
		if (!this.hasExited) {
			const exited = once(this.child, 'exit');
			this.child.kill(signal);
			await exited;
		}

		return this.child.exitCode ?? undefined;
	}

	/** Suspends the process with SIGSTOP. */
	pause(): void {
		this.child.kill('SIGSTOP');
	}

	/** Resumes a suspended process. */
	resume(): void {
		this.child.kill('SIGCONT');
	}
}
