import assert from 'node:assert/strict';
import { readdirSync, readFileSync } from 'node:fs';
import { test } from 'node:test';
import { fileURLToPath } from 'node:url';
import { loadSettings, operatorSchema } from '#controller';
import { parseJob } from '#wire';

const SETTINGS = examplePath('settings.toml');
const OPERATOR = examplePath('operator.json');

function examplePath(name: string): string {
  return fileURLToPath(new URL(`../../examples/${name}`, import.meta.url));
}

function readJson(file: string): unknown {
  return JSON.parse(readFileSync(file, 'utf8'));
}

test('the sample settings are valid, and every value in the sample operator settings takes effect', () => {
  const { operator, deployment } = loadSettings(SETTINGS, OPERATOR);
  assert.equal(deployment.nodes, 3);
  const own = readJson(OPERATOR) as Record<string, number>;
  assert.ok(Object.keys(own).length > 0);
  for (const [name, value] of Object.entries(own)) {
    assert.ok(name in operatorSchema.properties, `${name} is a setting`);
    assert.equal(operator[name as keyof typeof operator], value);
  }
});

test('the sample job fits the teams and classes of the sample deployment', () => {
  const job = parseJob(readJson(examplePath('job.json')));
  const { teams, objectives } = loadSettings(SETTINGS, null).deployment;
  const team = teams.find(({ name }) => name === job.team);
  assert.ok(team && team.gpus_max >= job.gpus);
  assert.ok(objectives.some((objective) => objective.class === job.class));
});

test('the jobs of the sample pipeline can be submitted in the order of their file names', () => {
  const { teams } = loadSettings(SETTINGS, null).deployment;
  const files = readdirSync(examplePath('pipeline')).sort();
  const jobs = files.map((file) => parseJob(readJson(examplePath(`pipeline/${file}`))));
  assert.ok(jobs.length > 2);
  const accepted = new Set<string>();
  for (const [number, job] of jobs.entries()) {
    assert.ok(teams.some(({ name }) => name === job.team));
    assert.deepEqual(job.awaits.length > 0, number > 0);
    for (const dependency of job.awaits) {
      assert.ok(accepted.has(dependency), `${job.id}: ${dependency}`);
    }
    assert.equal(job.deadlineS !== null, number === jobs.length - 1);
    accepted.add(job.id);
  }
});
