/** Runs a command-line program of this project to completion. */
import {spawn} from 'node:child_process';
import {once} from 'node:events';
import process from 'node:process';
import {fileURLToPath} from 'node:url';

/** Exit code, standard output and standard error of a finished program. */
type CompletedProgram = {readonly code: number; readonly output: string; readonly errors: string};

/** Runs a compiled main module and waits for it to exit. The exit code is -1 if a signal ended it. */
export async function runToCompletion(main: string, parameters: readonly string[], input = ''): Promise<CompletedProgram> {
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
