/** Runs a program of this project to its end. */
import {spawn} from 'node:child_process';
import {once} from 'node:events';
import process from 'node:process';
import {fileURLToPath} from 'node:url';

/** What a program printed, and its exit code. */
type Finished = {readonly code: number; readonly output: string; readonly errors: string};

/** Starts a compiled main module with parameters and, if given, standard input. */
export async function runToEnd(main: string, parameters: readonly string[], input = ''): Promise<Finished> {
	const file = fileURLToPath(new URL(`../${main}`, import.meta.url));
	const child = spawn(process.execPath, [file, ...parameters], {stdio: ['pipe', 'pipe', 'pipe']});
	let output = '';
	let errors = '';
	child.stdout.setEncoding('utf8').on('data', (text: string) => {
		output += text;
	});
	child.stderr.setEncoding('utf8').on('data', (text: string) => {
		errors += text;
	});
	child.stdin.end(input);
	const [code] = await once(child, 'close') as [number | undefined];
	return {code: code ?? -1, output, errors};
}
