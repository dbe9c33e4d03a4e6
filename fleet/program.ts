/** A program of this project as a child process of a script. */
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

/** Started by `start`, which waits until it listens; ended by its id. */
export class Program {
	/** Runs a compiled main module with Node.js; the log goes to `log`. */
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
			throw new TypeError(`${main} did not start: ${lines.join('\n')}`);
		}

		return new Program(child, listeningSchema.parse(JSON.parse(line)).listening, lines);
	}

	private constructor(private readonly child: ChildProcess, readonly ports: Ports, private readonly lines: string[]) {}

	get pid(): number {
		return this.child.pid!;
	}

	/** What it wrote to its log so far. */
	get log(): readonly string[] {
		return this.lines;
	}

	get hasEnded(): boolean {
		return this.child.exitCode !== null || this.child.signalCode !== null;
	}

	/** Sends a signal and, but for a pause, waits for the end. Returns the exit code, if there is one. */
	async end(signal: 'SIGTERM' | 'SIGKILL'): Promise<number | undefined> {
		if (!this.hasEnded) {
			const ended = once(this.child, 'exit');
			this.child.kill(signal);
			await ended;
		}

		return this.child.exitCode ?? undefined;
	}

	/** Stops the process where it is. */
	pause(): void {
		this.child.kill('SIGSTOP');
	}

	resume(): void {
		this.child.kill('SIGCONT');
	}
}
